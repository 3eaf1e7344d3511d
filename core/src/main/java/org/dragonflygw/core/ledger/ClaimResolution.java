package org.dragonflygw.core.ledger;

/** How a submission whose key already has a row in the table service is resolved. */
enum ClaimResolution {
    /** The key was run; its stored answer is returned. */
    REPLAY,
    /** The key was not run; it may be claimed if the row still has the version that was read. */
    RECLAIM,
    /** The owner of the claim may still write its outcome. */
    WAIT,
    /** The submission may have run, and its outcome will not be written any more. */
    OUTCOME_UNKNOWN,
    /** The key was used for a request with other content. */
    KEY_REUSED;

    /** Resolves a submission against the row of an earlier one. */
    static ClaimResolution of(SubmissionRow row, Submission repeat, boolean ownerMayFinish) {
        if (row.state() == SubmissionState.NOT_RUN) {
            return RECLAIM;
        }
        if (row.fingerprint() != repeat.fingerprint()) {
            return KEY_REUSED;
        }
        return switch (row.state()) {
            case DONE -> REPLAY;
            case UNKNOWN -> OUTCOME_UNKNOWN;
            default -> ownerMayFinish ? WAIT : OUTCOME_UNKNOWN;
        };
    }
}
