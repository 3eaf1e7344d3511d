package org.dragonflygw.core.ledger;

/** Creates the decision that returns a stored answer. */
final class Replays {
    private Replays() {}

    /** Replays the answer, or rejects with {@link LedgerCode#ANSWER_NOT_KEPT} if its body was not stored. */
    static SubmissionDecision of(StoredAnswer answer) {
        return answer.body().isPresent() ? new SubmissionDecision.Replay(answer) : Rejections.answerNotKept();
    }
}
