package org.dragonflygw.core.storenews;

import org.dragonflygw.core.contact.StoreContact;
import org.dragonflygw.core.discovery.EndpointRegistry;
import org.dragonflygw.core.evacuation.Evacuations;
import org.dragonflygw.core.lease.MonotonicClock;

/**
 * Applies news about the store that other hosts have read. News are applied only if they continue without a gap from
 * the version that this host has; otherwise this host reads the store as if it had received none. A newer configuration
 * with a gap is read at once. News of an earlier era of the store are ignored. Not thread-safe.
 */
public final class StoreNewsApplier {
    private static final long NANOS_PER_MS = 1_000_000;

    /** Allowance for the transit time of a message, in milliseconds; added to the ages that the message reports. */
    private static final long TRANSIT_MS = 100;

    private final StoreEra era;
    private final EndpointRegistry registry;
    private final EndpointChangeLog changes;
    private final Evacuations evacuations;
    private final StoreContact contact;
    private final MonotonicClock clock;

    public StoreNewsApplier(
            StoreEra era,
            EndpointRegistry registry,
            EndpointChangeLog changes,
            Evacuations evacuations,
            StoreContact contact,
            MonotonicClock clock) {
        this.era = era;
        this.registry = registry;
        this.changes = changes;
        this.evacuations = evacuations;
        this.contact = contact;
        this.clock = clock;
    }

    /**
     * Applies the news of another host to this host's copies of both tables.
     *
     * @param arrivedAfterNanos time on the monotonic clock, in nanoseconds, at which the news had not arrived yet. The ages
     *     that the news state count from then, as a message may wait in this host's socket
     * @param endpoints copy of the table of endpoints
     * @param configuration copy of the table that holds the configuration's row
     * @param catalog the configuration in force
     */
    public void apply(
            StoreNews news,
            long arrivedAfterNanos,
            FollowedTable endpoints,
            FollowedTable configuration,
            CatalogUpdateTarget catalog) {
        boolean sameEra = era.onSeen(news.era(), "report") && news.era() == era.current();
        if (!sameEra) {
            // Versions of rows are those of another era, but the operator's versions hold: the store may have lost this
            // one.
            catalog.onVersionInForce(news.configuration().configVersion());
            return;
        }
        applyEndpoints(news, arrivedAfterNanos, endpoints);
        evacuations.onNews(news.evacuations());
        applyConfiguration(news, arrivedAfterNanos, configuration, catalog);
    }

    private void applyEndpoints(StoreNews news, long arrivedAfterNanos, FollowedTable endpoints) {
        if (!endpoints.listed() || news.endpointsAgeMs() < 0) {
            return;
        }
        long now = clock.nanos();
        long asOfNanos = asOfNanos(news.endpointsAgeMs(), arrivedAfterNanos);
        registry.onStoreRead(asOfNanos, now);
        boolean continuous =
                news.completeFrom() <= endpoints.version() && news.endpointsVersion() >= endpoints.version();
        if (!continuous) {
            return;
        }
        for (EndpointChange c : news.changes()) {
            if (c.version() > endpoints.version()) {
                changes.add(c, now);
                applyChange(c, now);
            }
        }
        endpoints.markFresh(news.endpointsVersion(), asOfNanos);
    }

    private void applyChange(EndpointChange change, long now) {
        if (change.entry().isPresent()) {
            registry.onUpdated(change.entry().get());
        } else {
            registry.onRemoved(change.id(), now);
        }
    }

    private void applyConfiguration(
            StoreNews storeNews, long arrivedAfterNanos, FollowedTable table, CatalogUpdateTarget catalog) {
        ConfigurationNews news = storeNews.configuration();
        if (!table.listed() || news.rowVersion() == 0) {
            return;
        }
        for (CatalogUpdate update : news.updates()) {
            if (update.fromRowVersion() == catalog.rowVersion()) {
                catalog.apply(update);
            }
        }
        if (news.rowVersion() > catalog.rowVersion()) {
            table.readNow();
            return;
        }
        boolean sameRow = news.rowVersion() == catalog.rowVersion();
        boolean mayConfirm = sameRow && catalog.onVersionInForce(news.configVersion());
        // Hosts of an earlier program do not say which zones are evacuated, so their news do not replace a read.
        boolean complete = news.ageMs() >= 0 && storeNews.evacuations().isKnown();
        if (sameRow && complete) {
            long asOf = asOfNanos(news.ageMs(), arrivedAfterNanos);
            if (mayConfirm) {
                contact.onRead(asOf);
            }
            table.markFresh(Math.min(catalog.rowVersion(), evacuations.version()), asOf);
        }
    }

    private static long asOfNanos(long ageMs, long arrivedAfterNanos) {
        return arrivedAfterNanos - (ageMs + TRANSIT_MS) * NANOS_PER_MS;
    }
}
