package org.dragonflygw.core.ledger;

import org.dragonflygw.core.storage.Mutation;

/**
 * Writes single rows to the table service, each independently of the others. The value of a mutation must be unique
 * to its writer: a row that already holds the value counts as written by an earlier try.
 */
public interface RowWriter {
    /** Takes a write and reports its result once, possibly within this call. */
    void write(Mutation mutation, WriteListener listener);
}
