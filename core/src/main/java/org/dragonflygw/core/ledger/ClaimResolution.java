package org.dragonflygw.core.ledger;

/** What a stored row means for an arrival that wants to claim its key. */
enum ClaimResolution {
    /** The key was run; its answer goes out again. */
    REPLAY,
    /** The key was not run; it may be claimed on condition that the row has not changed. */
    RECLAIM,
    /** The owner may still end the claim. */
    WAIT,
    /** Nobody will tell what became of it. */
    OUTCOME_UNKNOWN,
    /** The key belongs to other content. */
    KEY_REUSED;

    /** Judges a row that another arrival wrote. */
    static ClaimResolution of(SubmissionRow row, Submission arrival, boolean ownerMayEnd) {
        if (row.state() == SubmissionState.NOT_RUN) {
            return RECLAIM;
        }
        if (row.fingerprint() != arrival.fingerprint()) {
            return KEY_REUSED;
        }
        return switch (row.state()) {
            case DONE -> REPLAY;
            case UNKNOWN -> OUTCOME_UNKNOWN;
            default -> ownerMayEnd ? WAIT : OUTCOME_UNKNOWN;
        };
    }
}
