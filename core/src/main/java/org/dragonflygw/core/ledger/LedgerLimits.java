package org.dragonflygw.core.ledger;

/**
 * Timeouts and limits of the ledger.
 *
 * @param maxOpenClaims largest number of open claims on this daemon; further submissions are rejected
 * @param claimTimeoutMillis longest time that a submission waits until its claim is written
 * @param pollIntervalMillis time between reads of a row that another daemon has claimed
 * @param outcomeGraceMillis time after the owner's deadline in which its outcome is still expected
 * @param outcomeRetryMillis time between tries to write an outcome
 * @param outcomeWriteTimeoutMillis time after the claim at which the owner stops trying to write its outcome
 */
public record LedgerLimits(
        int maxOpenClaims,
        long claimTimeoutMillis,
        long pollIntervalMillis,
        long outcomeGraceMillis,
        long outcomeRetryMillis,
        long outcomeWriteTimeoutMillis) {
    /** Limits of a router daemon. */
    public static final LedgerLimits DEFAULT = new LedgerLimits(20_000, 2_000, 250, 5_000, 500, 3_600_000);
}
