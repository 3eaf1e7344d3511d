package org.dragonflygw.core.placement;

/**
 * Costs of taking a chat's KV cache along when its engine leaves.
 *
 * @param bytesPerToken size of the cache of one token
 * @param moveBytesPerSecond rate at which caches are moved between engines
 * @param moveSetupMillis time of an export and import besides the transfer, in milliseconds
 * @param prefillTokensPerSecond rate at which the new engine computes a prompt
 * @param returnProbability probability that the chat returns while its cache would be kept
 */
public record KvMoveCosts(
        long bytesPerToken,
        long moveBytesPerSecond,
        long moveSetupMillis,
        long prefillTokensPerSecond,
        double returnProbability) {
    private static final double MILLIS_PER_SECOND = 1000.0;

    /** Whether the move of a prefix costs less than its expected computation on the new engine. */
    public boolean isWorthMoving(long prefixTokens) {
        double moveMillis = moveSetupMillis + prefixTokens * bytesPerToken * MILLIS_PER_SECOND / moveBytesPerSecond;
        double prefillMillis = prefixTokens * MILLIS_PER_SECOND / prefillTokensPerSecond;
        return moveMillis < returnProbability * prefillMillis;
    }
}
