package org.dragonflygw.core.ledger;

import java.util.concurrent.CompletableFuture;

/**
 * Stands before the dispatch of each non-idempotent submission and lets it pass at most once per team and key.
 * Safe from every thread.
 */
public interface SubmissionGate {
    /**
     * Claims a submission before its dispatch. The call does not block. The future completes with a decision at the
     * latest at the deadline of the submission and never exceptionally; a repeat of a submission that is still
     * running waits in it without holding a thread.
     */
    CompletableFuture<SubmissionDecision> claim(Submission submission);
}
