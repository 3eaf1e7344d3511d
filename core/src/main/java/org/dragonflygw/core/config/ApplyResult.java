package org.dragonflygw.core.config;

import java.util.Optional;

/** Outcome of an apply, if the outcome is known. */
public sealed interface ApplyResult {
    /**
     * The sheet was accepted, by this apply or by an earlier one with the same token.
     *
     * @param version version that the sheet became
     */
    record Accepted(AppliedVersion version) implements ApplyResult {}

    /**
     * The accepted version is not the one that the operator expected to replace.
     *
     * @param winner accepted version; empty if there is none
     * @param diff changes from the accepted sheet to the proposed one; empty if the accepted sheet could not be read
     */
    record Conflict(Optional<AppliedVersion> winner, Optional<SheetDiff> diff) implements ApplyResult {}

    /**
     * The sheet is invalid; the store was not changed.
     *
     * @param readResult problems of the sheet
     */
    record Invalid(SheetReadResult readResult) implements ApplyResult {}
}
