package org.dragonflygw.core.storenews;

import org.dragonflygw.core.contact.StoreContact;
import org.dragonflygw.core.discovery.EndpointRegistry;
import org.dragonflygw.core.lease.MonotonicClock;

/**
 * Takes what other hosts have read of the store. News are only used if they join on to what this host knows; otherwise
 * it reads the store itself as if it had heard nothing. Used by one thread.
 */
public final class StoreNewsApplier {
    private static final long NANOS_PER_MS = 1_000_000;

    /** Time that a message may have been under way, in milliseconds, which is added to the age of what it says. */
    private static final long TRANSIT_MS = 100;

    private final EndpointRegistry registry;
    private final EndpointChangeLog changes;
    private final StoreContact contact;
    private final MonotonicClock clock;

    /** Makes a taker. */
    public StoreNewsApplier(
            EndpointRegistry registry, EndpointChangeLog changes, StoreContact contact, MonotonicClock clock) {
        this.registry = registry;
        this.changes = changes;
        this.contact = contact;
        this.clock = clock;
    }

    /** Takes news about both tables. */
    public void apply(
            StoreNews news, FollowedTable endpoints, FollowedTable configuration, CatalogUpdateTarget catalog) {
        takeEndpoints(news, endpoints);
        takeConfiguration(news.configuration(), configuration, catalog);
    }

    private void takeEndpoints(StoreNews news, FollowedTable endpoints) {
        boolean joins = endpoints.listed()
                && news.endpointsAgeMs() >= 0
                && news.completeFrom() <= endpoints.version()
                && news.endpointsVersion() >= endpoints.version();
        if (!joins) {
            return;
        }
        long now = clock.nanos();
        for (EndpointChange c : news.changes()) {
            if (c.version() > endpoints.version()) {
                changes.add(c, now);
                apply(c, now);
            }
        }
        endpoints.markFresh(news.endpointsVersion(), asOf(news.endpointsAgeMs(), now));
    }

    private void apply(EndpointChange change, long now) {
        if (change.entry().isPresent()) {
            registry.onUpdated(change.entry().get());
        } else {
            registry.onRemoved(change.id(), now);
        }
    }

    private void takeConfiguration(ConfigurationNews news, FollowedTable table, CatalogUpdateTarget catalog) {
        if (!table.listed() || news.rowVersion() == 0) {
            return;
        }
        for (CatalogUpdate u : news.updates()) {
            if (u.fromRowVersion() == catalog.rowVersion()) {
                catalog.apply(u);
            }
        }
        if (news.rowVersion() > catalog.rowVersion()) {
            table.readNow();
            return;
        }
        if (news.rowVersion() == catalog.rowVersion() && news.ageMs() >= 0) {
            long asOf = asOf(news.ageMs(), clock.nanos());
            contact.onRead(asOf);
            table.markFresh(catalog.rowVersion(), asOf);
        }
    }

    private static long asOf(long ageMs, long now) {
        return now - (ageMs + TRANSIT_MS) * NANOS_PER_MS;
    }
}
