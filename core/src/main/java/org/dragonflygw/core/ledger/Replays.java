package org.dragonflygw.core.ledger;

/** Decisions that give a stored answer. */
final class Replays {
    private Replays() {}

    /** Replays the answer, or says that the key was run if its body was not kept. */
    static SubmissionDecision of(StoredAnswer answer) {
        return answer.body().isPresent() ? new SubmissionDecision.Replay(answer) : Rejections.answerNotKept();
    }
}
