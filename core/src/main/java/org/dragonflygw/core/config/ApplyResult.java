package org.dragonflygw.core.config;

import java.util.Optional;

/** Outcome of an apply that the store decided. */
public sealed interface ApplyResult {
    /**
     * The sheet is the accepted configuration, by this apply or an earlier one with the same token.
     *
     * @param version version that it became
     */
    record Accepted(AppliedVersion version) implements ApplyResult {}

    /**
     * Another sheet was accepted since the operator looked.
     *
     * @param winner the accepted version; empty when there is none
     * @param diff from the accepted sheet to the proposed one; empty when the accepted sheet could not be read
     */
    record Conflict(Optional<AppliedVersion> winner, Optional<SheetDiff> diff) implements ApplyResult {}

    /**
     * The sheet has faults.
     *
     * @param readResult the faults
     */
    record Invalid(SheetReadResult readResult) implements ApplyResult {}
}
