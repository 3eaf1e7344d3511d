package org.dragonflygw.edge.store;

import java.util.List;
import org.dragonflygw.core.storage.VersionedRow;

/** Receives the rows that a {@link TableFollower} reads. Called on the event loop of the follower. */
public interface TableListener {
    /** Called when the store came back from a copy: versions known so far have no meaning, and a listing follows. */
    void onNewEra();

    /**
     * Called with the whole table.
     *
     * @param rows all rows
     * @param version version of the table
     * @param sentNanos time when the read was sent, from {@link System#nanoTime()}
     */
    void onListing(List<VersionedRow> rows, long version, long sentNanos);

    /**
     * Called with the changes since the last read.
     *
     * @param rows changed and deleted rows, empty if there were none
     * @param sentNanos time when the read was sent, from {@link System#nanoTime()}
     */
    void onChanges(List<VersionedRow> rows, long sentNanos);

    /** Called when a read failed. */
    void onReadFailure();
}
