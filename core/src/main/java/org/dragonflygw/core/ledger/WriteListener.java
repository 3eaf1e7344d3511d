package org.dragonflygw.core.ledger;

import org.dragonflygw.core.storage.StorageCode;
import org.dragonflygw.core.storage.TableRow;

/** Receives the result of one write of a {@link RowWriter}. */
public interface WriteListener {
    /** Whether to send the write, asked when its batch is built; an unwanted write fails with {@code UNAVAILABLE}. */
    boolean isWanted();

    /** Called when the write took effect, with the new version of the row. */
    void onWritten(long version);

    /** Called when the condition on the version failed, with the current row. */
    void onConflict(TableRow current);

    /** Called when the write failed. It had no effect unless the code is {@code OUTCOME_UNKNOWN}. */
    void onFailed(StorageCode code);
}
