package org.dragonflygw.edge.store;

import java.util.List;
import org.dragonflygw.core.storage.VersionedRow;

/** Told what is read of a table. */
public interface TableListener {
    /** The whole table as of a version. */
    void onListing(List<VersionedRow> rows, long version, long sentNanos);

    /** What has changed since the last read. */
    void onChanges(List<VersionedRow> rows, long sentNanos);

    /** A read failed. */
    void onReadFailure();
}
