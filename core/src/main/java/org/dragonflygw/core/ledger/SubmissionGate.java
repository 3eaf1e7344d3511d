package org.dragonflygw.core.ledger;

import java.util.concurrent.CompletableFuture;

/**
 * Admits non-idempotent submissions to dispatch, at most one per team and key. Called before each dispatch.
 * Thread-safe.
 */
public interface SubmissionGate {
    /**
     * Claims a submission before its dispatch. Does not block. The future completes with a decision by the deadline of
     * the submission, and never exceptionally; a repeat of a submission that is still running waits for it without
     * blocking a thread.
     */
    CompletableFuture<SubmissionDecision> claim(Submission submission);
}
