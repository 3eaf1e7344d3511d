package org.dragonflygw.core.ledger;

import org.dragonflygw.core.error.RunStatus;

/** What the gate decided about one arrival of a submission. */
public sealed interface SubmissionDecision {
    /**
     * The claim is certainly held by this arrival, which must dispatch it and end the claim.
     *
     * @param claim the claim
     */
    record Run(Claim claim) implements SubmissionDecision {}

    /**
     * An earlier arrival ran the submission; its answer goes to the caller again.
     *
     * @param answer the answer of the run
     */
    record Replay(StoredAnswer answer) implements SubmissionDecision {}

    /**
     * This arrival must not be dispatched and has no answer to replay.
     *
     * @param code why
     * @param run what is known of the run
     * @param message text for the caller
     * @param retryAfterMillis when to send the same key again, in milliseconds from now; 0 when it makes no sense
     */
    record Rejected(LedgerCode code, RunStatus run, String message, long retryAfterMillis)
            implements SubmissionDecision {}
}
