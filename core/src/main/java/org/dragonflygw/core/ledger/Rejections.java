package org.dragonflygw.core.ledger;

import org.dragonflygw.core.error.RunStatus;
import org.dragonflygw.core.ledger.SubmissionDecision.Rejected;

/** Creates the rejections of the ledger, with their messages to callers and delays before a retry. */
final class Rejections {
    private static final long UNAVAILABLE_RETRY_MILLIS = 1_000;
    private static final long IN_PROGRESS_RETRY_MILLIS = 2_000;
    private static final long NO_RETRY = 0;

    private Rejections() {}

    static Rejected unavailable() {
        return new Rejected(
                LedgerCode.LEDGER_UNAVAILABLE,
                RunStatus.NOT_RUN,
                "The submission could not be claimed, so this request was not run; send it again with the same key",
                UNAVAILABLE_RETRY_MILLIS);
    }

    static Rejected overloaded() {
        return new Rejected(
                LedgerCode.LEDGER_OVERLOADED,
                RunStatus.NOT_RUN,
                "Too many submissions are open, so this request was not run; send it again with the same key",
                UNAVAILABLE_RETRY_MILLIS);
    }

    static Rejected keyReused() {
        return new Rejected(
                LedgerCode.KEY_REUSED,
                RunStatus.NOT_RUN,
                "The key belongs to a request with other content, so this request was not run; use a new key",
                NO_RETRY);
    }

    static Rejected inProgress() {
        return new Rejected(
                LedgerCode.SUBMISSION_IN_PROGRESS,
                RunStatus.UNKNOWN,
                "The key is running and did not end in time; send it again with the same key to get its answer",
                IN_PROGRESS_RETRY_MILLIS);
    }

    static Rejected outcomeUnknown() {
        return new Rejected(
                LedgerCode.OUTCOME_UNKNOWN,
                RunStatus.UNKNOWN,
                "The key was claimed for a run whose outcome is not known; it will not be run again",
                NO_RETRY);
    }

    static Rejected answerNotKept() {
        return new Rejected(
                LedgerCode.ANSWER_NOT_KEPT,
                RunStatus.RUN,
                "The key was run, but its answer was not kept; it will not be run again",
                NO_RETRY);
    }

    static Rejected answerUnreadable() {
        return new Rejected(
                LedgerCode.ANSWER_NOT_KEPT,
                RunStatus.RUN,
                "The key was run, but its answer cannot be read now; send it again with the same key",
                UNAVAILABLE_RETRY_MILLIS);
    }
}
