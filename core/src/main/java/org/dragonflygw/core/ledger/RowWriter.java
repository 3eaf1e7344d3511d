package org.dragonflygw.core.ledger;

import org.dragonflygw.core.storage.Mutation;

/**
 * Writes single rows to the table service, each independently of the others. The value of a mutation must be unique
 * to its writer, since a row that already has this value counts as written by an earlier try of the same write.
 */
public interface RowWriter {
    /** Writes a row asynchronously. Calls the listener with the result once, possibly within this call. */
    void write(Mutation mutation, WriteListener listener);
}
