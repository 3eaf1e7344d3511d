package org.dragonflygw.core.ledger;

import java.util.concurrent.CompletableFuture;
import org.dragonflygw.core.timeline.EventRecorder;
import org.dragonflygw.core.timeline.EventSubject;
import org.dragonflygw.core.timeline.EventType;

/** A received submission with the future of the decision about it. */
record PendingSubmission(Submission submission, CompletableFuture<SubmissionDecision> decision) {
    long remainingMillis(long nowMillis) {
        return Math.max(0, submission.deadline().toEpochMilli() - nowMillis);
    }

    /** Completes the decision; returns false if it was already complete. */
    @SuppressWarnings("CanIgnoreReturnValueSuggester")
    boolean complete(SubmissionDecision result) {
        return decision.complete(result);
    }

    void recordEvent(EventRecorder events, EventType type, String detail) {
        EventSubject subject =
                new EventSubject(submission.requestId(), "", "", submission.team(), submission.key(), "");
        events.record(type, subject, detail);
    }
}
