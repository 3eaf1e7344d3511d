package org.dragonflygw.core.ledger;

/** The right to run one submission once. Exactly one of the three endings is called; only the first call counts. */
public interface SubmissionClaim {
    /** The submission ran and its whole answer came. */
    void completed(StoredAnswer answer);

    /** It is certain that no endpoint ran the submission; the same key may be claimed again. */
    void notRun();

    /** An endpoint may have run the submission, and its answer was lost. */
    void outcomeUnknown();
}
