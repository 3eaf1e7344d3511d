package org.dragonflygw.core.ledger;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Submission gate on the table service. Before a dispatch a row for its team and key is inserted, on condition that
 * the row is absent or NOT_RUN. An open row is never taken over from its owner, even if the owner has ended.
 *
 * <p>Lock order: monitor of one {@link ClaimAttempt}, then monitor of the {@link ClaimTable}. Writes, reads, timers and
 * completions of futures happen without holding either.
 */
public final class SubmissionLedger implements SubmissionGate {
    private static final int TOKEN_RADIX = 36;

    private final LedgerDependencies dependencies;
    private final ClaimTable<ClaimAttempt> table;
    private final AtomicLong tokenCounter = new AtomicLong();

    public SubmissionLedger(LedgerDependencies dependencies) {
        this.dependencies = dependencies;
        this.table = new ClaimTable<>(dependencies.limits().maxOpenClaims());
    }

    @Override
    public CompletableFuture<SubmissionDecision> claim(Submission submission) {
        CompletableFuture<SubmissionDecision> decision = new CompletableFuture<>();
        startOrJoin(new PendingSubmission(submission, decision));
        return decision;
    }

    /** Number of claims that this daemon is writing, holds or watches. */
    public int openClaims() {
        return table.size();
    }

    /** Joins the open claim of the key on this daemon, or starts a new one. */
    void startOrJoin(PendingSubmission pending) {
        while (true) {
            ClaimAttempt candidate = new ClaimAttempt(this, dependencies, pending, nextToken());
            Optional<ClaimAttempt> holder = table.acquire(candidate.rowKey(), candidate);
            if (holder.isEmpty()) {
                pending.decision().complete(Rejections.overloaded());
                return;
            }
            if (holder.get() == candidate) {
                candidate.start();
                return;
            }
            if (holder.get().join(pending)) {
                return;
            }
        }
    }

    /** Releases the key of an ended claim. */
    void remove(ClaimAttempt attempt) {
        table.release(attempt.rowKey(), attempt);
    }

    private String nextToken() {
        ClaimOwner owner = dependencies.owner();
        return owner.daemonId()
                + '.'
                + Long.toString(owner.incarnation(), TOKEN_RADIX)
                + '.'
                + Long.toString(tokenCounter.incrementAndGet(), TOKEN_RADIX);
    }
}
