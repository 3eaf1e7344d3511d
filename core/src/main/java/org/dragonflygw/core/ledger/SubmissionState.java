package org.dragonflygw.core.ledger;

/** State of a submission in the table service. */
public enum SubmissionState {
    /** Claimed; it may be dispatched, running, or left behind by an owner that is gone. */
    OPEN,
    /** Run, with its answer. */
    DONE,
    /** Certainly not run; the key may be claimed again. */
    NOT_RUN,
    /** Dispatched, and what became of it is not known. */
    UNKNOWN
}
