package org.dragonflygw.core.ledger;

import java.util.ArrayList;
import java.util.List;
import org.dragonflygw.core.timeline.EventType;

/** Later arrivals of a key that wait for the claim of an earlier one on the same daemon. The monitor is a leaf. */
final class WaitingSubmissions {
    private final LedgerDependencies parts;
    private final List<PendingSubmission> waiting = new ArrayList<>();

    WaitingSubmissions(LedgerDependencies parts) {
        this.parts = parts;
    }

    /** Adds one that waits for the outcome of the run, until its deadline. Returns the task that bounds the wait. */
    Runnable addUntilOutcome(PendingSubmission later) {
        add(later);
        long millis = later.remainingMillis(parts.clock().millis());
        return () -> {
            later.recordEvent(parts.events(), EventType.CLAIM_WAITED, "waits on this daemon");
            parts.timer().schedule(millis, () -> later.complete(Rejections.inProgress()));
        };
    }

    /** Adds one that waits until a key that was not run is free. Returns the task that bounds the wait. */
    Runnable addUntilFree(PendingSubmission later) {
        add(later);
        long millis = Math.min(
                later.remainingMillis(parts.clock().millis()), parts.limits().claimTimeoutMillis());
        return () -> parts.timer().schedule(millis, () -> later.complete(Rejections.unavailable()));
    }

    /** Gives all the same decision. */
    void completeAll(SubmissionDecision decision) {
        for (PendingSubmission later : takeAll()) {
            later.complete(decision);
        }
    }

    /** Takes all out. */
    synchronized List<PendingSubmission> takeAll() {
        List<PendingSubmission> all = List.copyOf(waiting);
        waiting.clear();
        return all;
    }

    private synchronized void add(PendingSubmission later) {
        waiting.add(later);
    }
}
