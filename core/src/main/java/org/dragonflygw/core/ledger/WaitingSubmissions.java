package org.dragonflygw.core.ledger;

import java.util.ArrayList;
import java.util.List;
import org.dragonflygw.core.timeline.EventType;

/**
 * Repeats of a key that wait for the claim of an earlier submission on the same daemon. Thread-safe; the monitor of
 * this object is a leaf in the lock order.
 */
final class WaitingSubmissions {
    private final LedgerDependencies dependencies;
    private final List<PendingSubmission> waiting = new ArrayList<>();

    WaitingSubmissions(LedgerDependencies dependencies) {
        this.dependencies = dependencies;
    }

    /** Adds a repeat that waits for the outcome of the run. Returns the action that schedules its timeout. */
    Runnable addUntilOutcome(PendingSubmission repeat) {
        add(repeat);
        long timeoutMillis = repeat.remainingMillis(dependencies.clock().millis());
        return () -> {
            repeat.recordEvent(dependencies.events(), EventType.CLAIM_WAITED, "waiting for a claim of this daemon");
            dependencies.timer().schedule(timeoutMillis, () -> repeat.complete(Rejections.inProgress()));
        };
    }

    /** Adds a repeat that waits until a key that was not run is free. Returns the action that schedules its timeout. */
    Runnable addUntilFree(PendingSubmission repeat) {
        add(repeat);
        long timeoutMillis = Math.min(
                repeat.remainingMillis(dependencies.clock().millis()),
                dependencies.limits().claimTimeoutMillis());
        return () -> dependencies.timer().schedule(timeoutMillis, () -> repeat.complete(Rejections.unavailable()));
    }

    /** Removes all repeats and completes them with the same decision. */
    void completeAll(SubmissionDecision decision) {
        for (PendingSubmission repeat : takeAll()) {
            repeat.complete(decision);
        }
    }

    /** Removes all repeats and returns them in order. */
    synchronized List<PendingSubmission> takeAll() {
        List<PendingSubmission> all = List.copyOf(waiting);
        waiting.clear();
        return all;
    }

    private synchronized void add(PendingSubmission repeat) {
        waiting.add(repeat);
    }
}
