package org.dragonflygw.core.ledger;

/**
 * Bounds of the group commit.
 *
 * @param maxRows rows in one transaction
 * @param maxQueued writes that wait at one time; one more fails
 * @param maxTries times that a transaction whose answer was lost is sent
 * @param backoffMillis time without transactions after the service throttled one, and without new writes after it was
 *     unavailable
 */
public record CommitLimits(int maxRows, int maxQueued, int maxTries, long backoffMillis) {
    /** Bounds of a router daemon. */
    public static final CommitLimits DEFAULT = new CommitLimits(100, 20_000, 3, 200);
}
