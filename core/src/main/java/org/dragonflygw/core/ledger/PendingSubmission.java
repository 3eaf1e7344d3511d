package org.dragonflygw.core.ledger;

import java.util.concurrent.CompletableFuture;
import org.dragonflygw.core.timeline.EventRecorder;
import org.dragonflygw.core.timeline.EventSubject;
import org.dragonflygw.core.timeline.EventType;

/** One arrival of a submission and the decision that it waits for. */
record PendingSubmission(Submission submission, CompletableFuture<SubmissionDecision> decision) {
    long remainingMillis(long nowMillis) {
        return Math.max(0, submission.deadline().toEpochMilli() - nowMillis);
    }

    /** Decides; false when it was decided before. */
    @SuppressWarnings("CanIgnoreReturnValueSuggester")
    boolean complete(SubmissionDecision made) {
        return decision.complete(made);
    }

    void recordEvent(EventRecorder events, EventType type, String detail) {
        EventSubject subject =
                new EventSubject(submission.requestId(), "", "", submission.team(), submission.key(), "");
        events.record(type, subject, detail);
    }
}
