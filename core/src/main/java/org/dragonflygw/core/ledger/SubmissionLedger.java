package org.dragonflygw.core.ledger;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The gate over the table service. A row for each team and key is inserted before the dispatch, on condition that it is
 * absent or certainly not run; nobody ever takes an open row over from its owner.
 *
 * <p>Lock order: monitor of one {@link ClaimAttempt}, then monitor of the {@link ClaimTable}. Writes, reads, timers and
 * completions of futures happen outside both.
 */
public final class SubmissionLedger implements SubmissionGate {
    private static final int TOKEN_RADIX = 36;

    private final LedgerDependencies parts;
    private final ClaimTable<ClaimAttempt> table;
    private final AtomicLong arrivals = new AtomicLong();

    public SubmissionLedger(LedgerDependencies parts) {
        this.parts = parts;
        this.table = new ClaimTable<>(parts.limits().maxOpenClaims());
    }

    @Override
    public CompletableFuture<SubmissionDecision> claim(Submission submission) {
        CompletableFuture<SubmissionDecision> decision = new CompletableFuture<>();
        startOrJoin(new PendingSubmission(submission, decision));
        return decision;
    }

    /** Number of claims that this daemon holds, writes or watches. */
    public int openClaims() {
        return table.size();
    }

    /** Brings an arrival to the claim of its key, a new one if there is none. */
    void startOrJoin(PendingSubmission arrival) {
        while (true) {
            ClaimAttempt candidate = new ClaimAttempt(this, parts, arrival, nextToken());
            Optional<ClaimAttempt> holder = table.acquire(candidate.rowKey(), candidate);
            if (holder.isEmpty()) {
                arrival.decision().complete(Rejections.overloaded());
                return;
            }
            if (holder.get() == candidate) {
                candidate.start();
                return;
            }
            if (holder.get().join(arrival)) {
                return;
            }
        }
    }

    /** Frees the key of an ended claim. */
    void remove(ClaimAttempt attempt) {
        table.release(attempt.rowKey(), attempt);
    }

    private String nextToken() {
        ClaimOwner owner = parts.owner();
        return owner.daemonId()
                + '.'
                + Long.toString(owner.incarnation(), TOKEN_RADIX)
                + '.'
                + Long.toString(arrivals.incrementAndGet(), TOKEN_RADIX);
    }
}
