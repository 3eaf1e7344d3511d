package org.dragonflygw.core.ledger;

/**
 * Times and bounds of the ledger.
 *
 * @param maxOpenClaims claims on this daemon at one time; one more is refused
 * @param claimTimeoutMillis longest time that an arrival waits for its claim to be written
 * @param pollIntervalMillis time between reads of a claim that another daemon holds
 * @param outcomeGraceMillis time after the owner's deadline within which its outcome is expected
 * @param outcomeRetryMillis time between tries to write an outcome
 * @param outcomeWriteTimeoutMillis time after the claim at which the owner stops to write its outcome
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
