package org.dragonflygw.standins.engine;

import java.util.List;

/**
 * How an engine stand-in behaves without faults.
 *
 * @param id unique name of the engine
 * @param port port, 0 for an ephemeral one
 * @param models models that it holds at the start
 * @param maxBatch streams that run at one time; more wait by priority
 * @param tokenGapMicros time between two tokens of a stream that runs alone, in microseconds
 * @param tokenGapPerStreamMicros time added to the gap by each further stream of the batch, in microseconds
 * @param prefillTokensPerSecond prompt tokens processed a second, all streams together
 * @param cacheTokens memory of the prefix cache, in tokens
 * @param loadLagMillis lag of the load report, in milliseconds
 * @param cacheEventLagMillis lag of cache events, in milliseconds
 * @param cacheEventGapEvery each nth cache event is lost; 0 for none
 * @param checksFencing whether orders with an old fencing number are refused
 * @param orderMillis time that an order takes, in milliseconds
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

    /** A fast engine on an ephemeral port that checks fencing numbers and serves every model. */
    public static EngineConfig defaults(String id) {
        return builder(id).build();
    }

    /** Starts from the defaults. */
    public static EngineConfigBuilder builder(String id) {
        return new EngineConfigBuilder(id);
    }

    /** Time between two tokens at the given batch size, in nanoseconds. */
    long tokenGapNanos(int batch) {
        return 1000 * (tokenGapMicros + tokenGapPerStreamMicros * Math.max(0, batch - 1));
    }

    /** Time to process prompt tokens that are not cached, in nanoseconds. */
    long prefillNanos(long tokens) {
        return tokens * 1_000_000_000L / prefillTokensPerSecond;
    }
}
