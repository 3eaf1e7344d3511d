package org.dragonflygw.core.ledger;

/** What a gate decided about a submission. */
public sealed interface ClaimResult {
    /**
     * The submission may run now.
     *
     * @param claim to be ended when the outcome is known
     */
    record Run(SubmissionClaim claim) implements ClaimResult {}

    /**
     * The submission ran before.
     *
     * @param answer the answer that it got
     */
    record Replay(StoredAnswer answer) implements ClaimResult {}

    /** The submission was dispatched before and its outcome is not known; it must not run again. */
    record Unknown() implements ClaimResult {}

    /**
     * The submission cannot be claimed now and was not run by this request.
     *
     * @param code stable code of the refusal, in upper case with underscores
     * @param message why, for the caller
     * @param retryAfterMillis when a new try makes sense, in milliseconds from now; 0 when it never does
     */
    record Refused(String code, String message, long retryAfterMillis) implements ClaimResult {}
}
