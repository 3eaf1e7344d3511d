package org.dragonflygw.core.ledger;

/**
 * Limits of the group commit.
 *
 * @param maxRows largest number of rows in one transaction
 * @param maxQueued largest number of queued writes; further writes fail
 * @param maxTries how often a transaction with an unknown outcome is sent, the first time included
 * @param backoffMillis time in which no transaction is sent after the table service throttled one, and in which new
 *     writes fail after the service was unavailable
 */
public record CommitLimits(int maxRows, int maxQueued, int maxTries, long backoffMillis) {
    /** Limits of a router daemon. */
    public static final CommitLimits DEFAULT = new CommitLimits(100, 20_000, 3, 200);
}
