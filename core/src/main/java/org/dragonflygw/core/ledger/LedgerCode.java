package org.dragonflygw.core.ledger;

import org.dragonflygw.core.error.ErrorCode;

/** Why a submission was not dispatched. */
public enum LedgerCode implements ErrorCode {
    /** The claim could not be written to the table service in time. */
    LEDGER_UNAVAILABLE,
    /** The limit of open claims on this daemon is reached. */
    LEDGER_OVERLOADED,
    /** The key was used for a request with other content. */
    KEY_REUSED,
    /** An earlier submission of the key is running and did not end before the deadline of this one. */
    SUBMISSION_IN_PROGRESS,
    /** The key may have been dispatched, and its outcome is unknown. */
    OUTCOME_UNKNOWN,
    /** The key was run, but its answer was not stored or cannot be read. */
    ANSWER_NOT_KEPT
}
