package org.dragonflygw.core.ledger;

/** State of a submission in the table service. */
public enum SubmissionState {
    /** Claimed: not yet dispatched, running, or abandoned by an owner that has ended. */
    OPEN,
    /** Run; the row has its answer. */
    DONE,
    /** Certainly not run; the key may be claimed again. */
    NOT_RUN,
    /** Dispatched, with an unknown outcome. */
    UNKNOWN
}
