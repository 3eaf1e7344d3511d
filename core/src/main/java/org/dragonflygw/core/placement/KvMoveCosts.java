package org.dragonflygw.core.placement;

/**
 * Costs of moving a chat's KV cache to another engine when its engine leaves.
 *
 * @param bytesPerToken cache size of one token, in bytes
 * @param moveBytesPerSecond transfer rate between engines, in bytes per second
 * @param moveSetupMillis time of the export and import in addition to the transfer, in milliseconds
 * @param prefillTokensPerSecond prefill rate of the new engine, in tokens per second
 * @param returnProbability probability that the chat continues while its cache would be kept
 */
public record KvMoveCosts(
        long bytesPerToken,
        long moveBytesPerSecond,
        long moveSetupMillis,
        long prefillTokensPerSecond,
        double returnProbability) {
    private static final double MILLIS_PER_SECOND = 1000.0;

    /** Whether moving the cache of a prefix takes less time than the expected prefill on the new engine. */
    public boolean isWorthMoving(long prefixTokens) {
        double moveMillis = moveSetupMillis + prefixTokens * bytesPerToken * MILLIS_PER_SECOND / moveBytesPerSecond;
        double prefillMillis = prefixTokens * MILLIS_PER_SECOND / prefillTokensPerSecond;
        return moveMillis < returnProbability * prefillMillis;
    }
}
