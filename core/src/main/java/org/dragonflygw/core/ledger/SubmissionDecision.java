package org.dragonflygw.core.ledger;

import org.dragonflygw.core.error.RunStatus;

/** Decision of the {@link SubmissionGate} about one submission. */
public sealed interface SubmissionDecision {
    /** The submission holds the claim of its key; the caller of the gate dispatches it and ends the claim. */
    record Run(Claim claim) implements SubmissionDecision {}

    /** An earlier submission of the key was run; its answer is returned to the caller. */
    record Replay(StoredAnswer answer) implements SubmissionDecision {}

    /**
     * The submission must not be dispatched, and there is no answer to replay.
     *
     * @param code reason
     * @param run whether the submission was run
     * @param message message for the caller
     * @param retryAfterMillis delay before the caller may send the same key again; 0 if a retry cannot succeed
     */
    record Rejected(LedgerCode code, RunStatus run, String message, long retryAfterMillis)
            implements SubmissionDecision {}
}
