package org.dragonflygw.edge.store;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
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

/** Brings configurations into force that were read from the store or heard of, and notes how fresh they are. */
public final class ConfigurationFeed implements TableListener, CatalogUpdateTarget {
    private final CatalogDecoder decoder;
    private final CatalogHolder catalogs;
    private final StoreContact contact;
    private final EventLog log;
    private final CatalogUpdateLog updates = new CatalogUpdateLog();
    private long rowVersion;

    /** Makes a feed. */
    public ConfigurationFeed(CatalogDecoder decoder, CatalogHolder catalogs, StoreContact contact, EventLog log) {
        this.decoder = decoder;
        this.catalogs = catalogs;
        this.contact = contact;
        this.log = log;
    }

    @Override
    public long rowVersion() {
        return rowVersion;
    }

    /** What this host can tell others of the configuration. */
    public ConfigurationNews news() {
        updates.expire(System.nanoTime());
        return new ConfigurationNews(rowVersion, contact.ageMs(), updates.updates());
    }

    @Override
    public void onListing(List<VersionedRow> rows, long version, long sentNanos) {
        onChanges(rows, sentNanos);
    }

    @Override
    public void onChanges(List<VersionedRow> rows, long sentNanos) {
        boolean taken = true;
        for (VersionedRow r : rows) {
            if (r.key().equals(CatalogDecoder.ROW_KEY) && !r.deleted() && r.version() > rowVersion) {
                taken &= apply(r);
            }
        }
        if (taken && catalogs.current().isPresent()) {
            contact.onRead(sentNanos);
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
        boolean inForce = catalogs.offer(next);
        if (inForce && change.isPresent()) {
            updates.add(new CatalogUpdate(rowVersion, row.version(), change.get()), startNanos);
        } else {
            updates.clear();
        }
        rowVersion = row.version();
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
        if (before.isEmpty() || update.fromRowVersion() != rowVersion) {
            return;
        }
        Catalog next = update.change().applyTo(before.get());
        if (!catalogs.offer(next)) {
            return;
        }
        rowVersion = update.rowVersion();
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

    @Override
    public void onReadFailure() {
        // The follower logs it; the age of the last read decides what keys are worth.
    }
}
