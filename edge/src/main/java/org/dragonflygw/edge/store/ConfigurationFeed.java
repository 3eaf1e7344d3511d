package org.dragonflygw.edge.store;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.dragonflygw.core.catalog.Catalog;
import org.dragonflygw.core.catalog.CatalogChange;
import org.dragonflygw.core.catalog.CatalogHolder;
import org.dragonflygw.core.contact.StoreContact;
import org.dragonflygw.core.error.CodedException;
import org.dragonflygw.core.log.EventLog;
import org.dragonflygw.core.log.LogTopic;
import org.dragonflygw.core.storage.VersionedRow;
import org.dragonflygw.core.storenews.CatalogUpdate;
import org.dragonflygw.core.storenews.CatalogUpdateLog;
import org.dragonflygw.core.storenews.CatalogUpdateTarget;
import org.dragonflygw.core.storenews.ConfigurationNews;
import org.dragonflygw.platform.adapter.CatalogDecoder;

/**
 * Applies configurations read from the store and configuration updates received from peers, and records the time of the
 * last successful read. Used by one thread.
 */
public final class ConfigurationFeed implements TableListener, CatalogUpdateTarget {
    private final CatalogDecoder decoder;
    private final CatalogHolder catalogs;
    private final StoreContact contact;
    private final EventLog log;
    private final BooleanSupplier othersHeard;
    private final CatalogUpdateLog updates = new CatalogUpdateLog();
    private long rowVersion;

    /** Version of the configuration in the row; lower than the one in force after the store came back from a copy. */
    private long rowConfigVersion;

    private long newestInForce;

    /** When the last read was sent that has not confirmed the keys yet; empty if there is none. */
    private OptionalLong unconfirmedReadNanos = OptionalLong.empty();

    /**
     * Creates a feed that has read nothing.
     *
     * @param othersHeard tells whether this host has heard which configuration the others have in force; before that, its
     *     own reads do not confirm keys
     */
    public ConfigurationFeed(
            CatalogDecoder decoder,
            CatalogHolder catalogs,
            StoreContact contact,
            EventLog log,
            BooleanSupplier othersHeard) {
        this.decoder = decoder;
        this.catalogs = catalogs;
        this.contact = contact;
        this.log = log;
        this.othersHeard = othersHeard;
    }

    @Override
    public long rowVersion() {
        return rowVersion;
    }

    /** Returns the row version, age and recent updates of the configuration, to be reported to peers. */
    public ConfigurationNews news() {
        updates.expire(System.nanoTime());
        confirmRead();
        return new ConfigurationNews(rowVersion, catalogs.version(), contact.ageMs(), updates.updates());
    }

    @Override
    public void onNewEra() {
        rowVersion = 0;
        rowConfigVersion = 0;
        updates.clear();
    }

    /**
     * Withdraws the confirmation of keys if another host has a newer configuration in force although both have the newest
     * row: the store has lost that configuration, and this host started afterwards. Keys may have been revoked in it.
     */
    @Override
    public boolean onVersionInForce(long configVersion) {
        newestInForce = Math.max(newestInForce, configVersion);
        if (!hasNewestInForce()) {
            contact.withdraw();
        }
        return hasNewestInForce();
    }

    private boolean hasNewestInForce() {
        return catalogs.version() >= newestInForce;
    }

    @Override
    public void onListing(List<VersionedRow> rows, long version, long sentNanos) {
        onChanges(rows, sentNanos);
    }

    @Override
    public void onChanges(List<VersionedRow> rows, long sentNanos) {
        boolean allApplied = true;
        for (VersionedRow r : rows) {
            if (r.key().equals(CatalogDecoder.ROW_KEY) && !r.deleted() && r.version() > rowVersion) {
                allApplied &= apply(r);
            }
        }
        if (allApplied && catalogs.current().isPresent()) {
            unconfirmedReadNanos = OptionalLong.of(sentNanos);
            confirmRead();
        }
    }

    /** Confirms the keys by the last read, once nothing speaks against it. */
    public void confirmRead() {
        if (unconfirmedReadNanos.isPresent() && hasNewestInForce() && othersHeard.getAsBoolean()) {
            contact.onRead(unconfirmedReadNanos.getAsLong());
            unconfirmedReadNanos = OptionalLong.empty();
        }
    }

    private boolean apply(VersionedRow row) {
        long startNanos = System.nanoTime();
        Catalog next;
        try {
            next = decoder.decode(row.data());
        } catch (CodedException e) {
            log.line(LogTopic.CONFIGURATION)
                    .with("rowVersion", row.version())
                    .with("outcome", "rejected")
                    .with("reason", e.getMessage())
                    .end();
            return false;
        }
        Optional<CatalogChange> change = catalogs.current().flatMap(before -> CatalogChange.between(before, next));
        boolean continuesRow = isRowInForce();
        boolean inForce = catalogs.offer(next);
        if (inForce && continuesRow && change.isPresent()) {
            updates.add(new CatalogUpdate(rowVersion, row.version(), change.get()), startNanos);
        } else {
            updates.clear();
        }
        rowVersion = row.version();
        rowConfigVersion = next.version();
        log.line(LogTopic.CONFIGURATION)
                .with("configVersion", next.version())
                .with("rowVersion", row.version())
                .with("source", "store")
                .with("routes", next.routeCount())
                .with("bytes", row.data().length)
                .with("decodeMs", TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos))
                .with("outcome", inForce ? "in force" : "older than the one in force")
                .end();
        return true;
    }

    @Override
    public void apply(CatalogUpdate update) {
        Optional<Catalog> before = catalogs.current();
        if (before.isEmpty() || update.fromRowVersion() != rowVersion || !isRowInForce()) {
            return;
        }
        Catalog next = update.change().applyTo(before.get());
        if (!catalogs.offer(next)) {
            return;
        }
        rowVersion = update.rowVersion();
        rowConfigVersion = next.version();
        updates.add(update, System.nanoTime());
        log.line(LogTopic.CONFIGURATION)
                .with("configVersion", next.version())
                .with("rowVersion", rowVersion)
                .with("source", "another host")
                .with("routes", next.routeCount())
                .with("differences", update.change().size())
                .with("outcome", "in force")
                .end();
    }

    /** Whether differences from the row may be applied to the configuration in force. */
    private boolean isRowInForce() {
        return catalogs.version() == rowConfigVersion;
    }

    @Override
    public void onReadFailure() {
        // TableFollower logs the failure. The age of the last read decides whether API keys are still accepted.
    }
}
