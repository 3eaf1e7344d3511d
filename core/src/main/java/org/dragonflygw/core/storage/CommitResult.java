package org.dragonflygw.core.storage;

import java.util.List;

/**
 * Result of a transaction, which commits all of its mutations or none.
 *
 * @param committed whether all mutations took effect
 * @param conflicts current state of the rows whose condition failed; absent rows have version 0 and an empty value
 */
public record CommitResult(boolean committed, List<TableRow> conflicts) {
    public CommitResult {
        conflicts = List.copyOf(conflicts);
    }

    /** Result of a committed transaction. */
    public static CommitResult success() {
        return new CommitResult(true, List.of());
    }

    /** Result of a transaction that was not committed because of the given rows. */
    public static CommitResult conflict(List<TableRow> conflicts) {
        return new CommitResult(false, conflicts);
    }
}
