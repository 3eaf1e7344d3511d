package org.dragonflygw.core.ledger;

/**
 * Exclusive right to dispatch one submission. The holder calls {@link #mayDispatch} immediately before each attempt
 * and ends the claim once, with one of the other methods; later calls of these are ignored. Thread-safe; no method
 * blocks.
 */
public interface Claim {
    /**
     * Whether the submission may still be dispatched. False once the claim has ended or its deadline has passed, for
     * example while the process was paused; the holder then calls {@link #markNotRun}, if no earlier attempt was sent.
     */
    boolean mayDispatch();

    /** Ends the claim with the answer of the run. Repeats of the key get this answer from now on. */
    void complete(StoredAnswer answer);

    /** Ends the claim when certainly no endpoint ran the submission. The same key may be run from now on. */
    void markNotRun();

    /**
     * Ends the claim when an endpoint may have run the submission but gave no answer. Repeats are rejected, never
     * run.
     */
    void markOutcomeUnknown();
}
