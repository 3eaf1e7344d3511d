package org.dragonflygw.core.ledger;

import org.dragonflygw.core.error.ErrorCode;

/** Why a submission was not dispatched. */
public enum LedgerCode implements ErrorCode {
    /** The table service could not take the claim in time. */
    LEDGER_UNAVAILABLE,
    /** Too many claims are open on this daemon. */
    LEDGER_OVERLOADED,
    /** The key was used for a request with other content. */
    KEY_REUSED,
    /** The key is running elsewhere and did not end before the deadline. */
    SUBMISSION_IN_PROGRESS,
    /** The key was dispatched, and what became of it is not known. */
    OUTCOME_UNKNOWN,
    /** The key was run; its answer was too long to keep or could not be read. */
    ANSWER_NOT_KEPT
}
