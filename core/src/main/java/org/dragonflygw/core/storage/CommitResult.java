package org.dragonflygw.core.storage;

import java.util.List;

/**
 * Result of a transaction: committed whole, or not at all.
 *
 * @param committed whether all mutations took effect
 * @param conflicts the rows whose condition failed, as they are now; absent rows have version 0 and an empty value
 */
public record CommitResult(boolean committed, List<TableRow> conflicts) {
    public CommitResult {
        conflicts = List.copyOf(conflicts);
    }

    /** A transaction that took effect. */
    public static CommitResult success() {
        return new CommitResult(true, List.of());
    }

    /** A transaction that did not take effect because of the given rows. */
    public static CommitResult conflict(List<TableRow> conflicts) {
        return new CommitResult(false, conflicts);
    }
}
