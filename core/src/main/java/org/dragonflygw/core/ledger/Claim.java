package org.dragonflygw.core.ledger;

/**
 * The right to run one submission. The holder calls {@link #mayDispatch} directly before each attempt to send it and
 * ends the claim once, by one of the other methods; later ends are ignored. No method blocks.
 */
public interface Claim {
    /**
     * Whether the submission may still be sent. False once the claim has ended or is too old, for example because
     * the process was paused; the holder then ends it with {@link #markNotRun}, if no earlier attempt was sent.
     */
    boolean mayDispatch();

    /** The submission was run and gave this answer. Repeats of the key get it from now on. */
    void complete(StoredAnswer answer);

    /** It is certain that no endpoint ran the submission. The same key may run from now on. */
    void markNotRun();

    /** An endpoint may have run the submission, and no answer came. Repeats are told so and never run. */
    void markOutcomeUnknown();
}
