package org.dragonflygw.edge.store;

import java.util.List;
import org.dragonflygw.core.storage.VersionedRow;

/** Passes the rows of one table to several listeners, in their order. */
final class TableListeners implements TableListener {
    private final List<TableListener> listeners;

    TableListeners(TableListener... listeners) {
        this.listeners = List.of(listeners);
    }

    @Override
    public void onNewEra() {
        listeners.forEach(TableListener::onNewEra);
    }

    @Override
    public void onListing(List<VersionedRow> rows, long version, long sentNanos) {
        listeners.forEach(l -> l.onListing(rows, version, sentNanos));
    }

    @Override
    public void onChanges(List<VersionedRow> rows, long sentNanos) {
        listeners.forEach(l -> l.onChanges(rows, sentNanos));
    }

    @Override
    public void onReadFailure() {
        listeners.forEach(TableListener::onReadFailure);
    }
}
