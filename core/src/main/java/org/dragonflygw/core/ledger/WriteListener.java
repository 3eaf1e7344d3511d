package org.dragonflygw.core.ledger;

import org.dragonflygw.core.storage.StorageCode;
import org.dragonflygw.core.storage.TableRow;

/** Receives the result of one write. */
public interface WriteListener {
    /** Whether the write is still wanted; asked before it is sent. One not wanted fails as {@code UNAVAILABLE}. */
    boolean isWanted();

    /** The write took effect and gave the row this version. */
    void onWritten(long version);

    /** The condition failed: the row is as given. */
    void onConflict(TableRow current);

    /** The write failed. It certainly took no effect unless the code is {@code OUTCOME_UNKNOWN}. */
    void onFailed(StorageCode code);
}
