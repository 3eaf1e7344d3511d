package org.dragonflygw.edge.store;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.dragonflygw.core.catalog.Catalog;
import org.dragonflygw.core.catalog.CatalogHolder;
import org.dragonflygw.core.contact.StoreContact;
import org.dragonflygw.core.error.CodedException;
import org.dragonflygw.core.log.EventLog;
import org.dragonflygw.core.log.LogTopic;
import org.dragonflygw.core.storage.VersionedRow;
import org.dragonflygw.platform.adapter.CatalogDecoder;

/** Brings configurations from the store into force and notes how fresh they are. */
public final class ConfigurationFeed implements TableListener {
    private final CatalogDecoder decoder;
    private final CatalogHolder catalogs;
    private final StoreContact contact;
    private final EventLog log;
    private long rowVersion;

    /** Makes a feed. */
    public ConfigurationFeed(CatalogDecoder decoder, CatalogHolder catalogs, StoreContact contact, EventLog log) {
        this.decoder = decoder;
        this.catalogs = catalogs;
        this.contact = contact;
        this.log = log;
    }

    /** Version of the row that holds the configuration in force, 0 if there is none. */
    public long rowVersion() {
        return rowVersion;
    }

    @Override
    public void onListing(List<VersionedRow> rows, long version, long sentNanos) {
        onChanges(rows, sentNanos);
    }

    @Override
    public void onChanges(List<VersionedRow> rows, long sentNanos) {
        boolean taken = true;
        for (VersionedRow r : rows) {
            if (r.key().equals(CatalogDecoder.ROW_KEY) && !r.deleted()) {
                taken &= take(r);
            }
        }
        if (taken && catalogs.current().isPresent()) {
            contact.onRead(sentNanos);
        }
    }

    private boolean take(VersionedRow row) {
        long startNanos = System.nanoTime();
        try {
            Catalog next = decoder.decode(row.data());
            boolean inForce = catalogs.offer(next);
            rowVersion = Math.max(rowVersion, row.version());
            log.line(LogTopic.CONFIGURATION)
                    .with("configVersion", next.version())
                    .with("rowVersion", row.version())
                    .with("routes", next.routeCount())
                    .with("bytes", row.data().length)
                    .with("decodeMs", TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos))
                    .with("outcome", inForce ? "in force" : "older than the one in force")
                    .end();
            return true;
        } catch (CodedException e) {
            log.line(LogTopic.CONFIGURATION)
                    .with("rowVersion", row.version())
                    .with("outcome", "rejected")
                    .with("reason", e.getMessage())
                    .end();
            return false;
        }
    }

    @Override
    public void onFailure() {
        // The follower logs it; the age of the last read decides what keys are worth.
    }
}
