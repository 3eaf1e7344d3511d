package org.dragonflygw.standins.engine;

import java.util.List;

/**
 * Configuration of {@link EngineServer}: its behavior when no fault is set.
 *
 * @param id unique name of the engine
 * @param port port; 0 for an ephemeral one
 * @param models models loaded at the start; empty to serve every model
 * @param maxBatch streams that run at the same time; further streams wait, ordered by priority
 * @param tokenGapMicros time between two tokens of a stream that runs alone, in microseconds
 * @param tokenGapPerStreamMicros time added to the gap by each further stream of the batch, in microseconds
 * @param prefillTokensPerSecond prompt tokens processed per second, by all streams together
 * @param cacheTokens capacity of the prefix cache, in tokens
 * @param loadLagMillis lag of the load report, in milliseconds
 * @param cacheEventLagMillis lag of cache events, in milliseconds
 * @param cacheEventGapEvery each nth cache event is lost; 0 for none
 * @param checksFencing whether orders with a stale fencing token are rejected
 * @param orderMillis time that the execution of an order takes, in milliseconds
 * @param resumeMillis time that a stream is kept without a connection or after its end, in milliseconds
 */
public record EngineConfig(
        String id,
        int port,
        List<LoadedModel> models,
        int maxBatch,
        long tokenGapMicros,
        long tokenGapPerStreamMicros,
        long prefillTokensPerSecond,
        long cacheTokens,
        long loadLagMillis,
        long cacheEventLagMillis,
        int cacheEventGapEvery,
        boolean checksFencing,
        long orderMillis,
        long resumeMillis) {
    public EngineConfig {
        models = List.copyOf(models);
    }

    /** Returns the defaults: a fast engine on an ephemeral port that checks fencing tokens and serves every model. */
    public static EngineConfig defaults(String id) {
        return builder(id).build();
    }

    /** Returns a builder that starts with the defaults. */
    public static EngineConfigBuilder builder(String id) {
        return new EngineConfigBuilder(id);
    }

    /** Returns the time between two tokens at the given batch size, in nanoseconds. */
    long tokenGapNanos(int batch) {
        return 1000 * (tokenGapMicros + tokenGapPerStreamMicros * Math.max(0, batch - 1));
    }

    /** Returns the time to process prompt tokens that are not cached, in nanoseconds. */
    long prefillNanos(long tokens) {
        return tokens * 1_000_000_000L / prefillTokensPerSecond;
    }
}
