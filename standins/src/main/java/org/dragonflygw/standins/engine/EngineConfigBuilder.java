package org.dragonflygw.standins.engine;

import java.util.List;

/** Builds an {@link EngineConfig} from defaults. {@link EngineConfig} documents the fields. */
public final class EngineConfigBuilder {
    private final String id;
    private int port;
    private List<LoadedModel> models = List.of();
    private int maxBatch = 64;
    private long tokenGapMicros = 2_000;
    private long tokenGapPerStreamMicros = 20;
    private long prefillTokensPerSecond = 200_000;
    private long cacheTokens = 1_000_000;
    private long loadLagMillis = 300;
    private long cacheEventLagMillis = 500;
    private int cacheEventGapEvery = 50;
    private boolean checksFencing = true;
    private long orderMillis = 200;
    private long resumeMillis = 10_000;

    EngineConfigBuilder(String id) {
        this.id = id;
    }

    /** Sets the port. */
    public EngineConfigBuilder port(int value) {
        port = value;
        return this;
    }

    /** Sets the models loaded at the start; an empty list serves every model. */
    public EngineConfigBuilder models(List<LoadedModel> value) {
        models = List.copyOf(value);
        return this;
    }

    /** Sets the maximum batch size. */
    public EngineConfigBuilder maxBatch(int value) {
        maxBatch = value;
        return this;
    }

    /** Sets the token gap of a stream that runs alone, and the time that each further stream adds. */
    public EngineConfigBuilder tokenGapMicros(long alone, long perStream) {
        tokenGapMicros = alone;
        tokenGapPerStreamMicros = perStream;
        return this;
    }

    /** Sets the prefill speed, in tokens per second. */
    public EngineConfigBuilder prefillTokensPerSecond(long value) {
        prefillTokensPerSecond = value;
        return this;
    }

    /** Sets the capacity of the prefix cache, in tokens. */
    public EngineConfigBuilder cacheTokens(long value) {
        cacheTokens = value;
        return this;
    }

    /** Sets the lag of the load report, in milliseconds. */
    public EngineConfigBuilder loadLagMillis(long value) {
        loadLagMillis = value;
        return this;
    }

    /** Sets the lag of cache events; each event whose number is a multiple of {@code gapEvery} is lost, 0 for none. */
    public EngineConfigBuilder cacheEvents(long lagMillis, int gapEvery) {
        cacheEventLagMillis = lagMillis;
        cacheEventGapEvery = gapEvery;
        return this;
    }

    /** Sets whether orders with stale fencing tokens are rejected. */
    public EngineConfigBuilder checksFencing(boolean value) {
        checksFencing = value;
        return this;
    }

    /** Sets the time that the execution of an order takes, in milliseconds. */
    public EngineConfigBuilder orderMillis(long value) {
        orderMillis = value;
        return this;
    }

    /** Sets the time in which a stream can be resumed, in milliseconds. */
    public EngineConfigBuilder resumeMillis(long value) {
        resumeMillis = value;
        return this;
    }

    /** Builds the configuration. */
    public EngineConfig build() {
        return new EngineConfig(
                id,
                port,
                models,
                maxBatch,
                tokenGapMicros,
                tokenGapPerStreamMicros,
                prefillTokensPerSecond,
                cacheTokens,
                loadLagMillis,
                cacheEventLagMillis,
                cacheEventGapEvery,
                checksFencing,
                orderMillis,
                resumeMillis);
    }
}
