package org.dragonflygw.standins.engine;

import java.util.List;

/** Builds an {@link EngineConfig} from defaults. The setters are named as the fields there. */
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

    /** Sets the models held at the start; with none every model is served. */
    public EngineConfigBuilder models(List<LoadedModel> value) {
        models = List.copyOf(value);
        return this;
    }

    /** Sets the batch size. */
    public EngineConfigBuilder maxBatch(int value) {
        maxBatch = value;
        return this;
    }

    /** Sets the token gap of a stream alone, and what each further stream adds. */
    public EngineConfigBuilder tokenGapMicros(long alone, long perStream) {
        tokenGapMicros = alone;
        tokenGapPerStreamMicros = perStream;
        return this;
    }

    /** Sets the prefill speed. */
    public EngineConfigBuilder prefillTokensPerSecond(long value) {
        prefillTokensPerSecond = value;
        return this;
    }

    /** Sets the memory of the prefix cache. */
    public EngineConfigBuilder cacheTokens(long value) {
        cacheTokens = value;
        return this;
    }

    /** Sets the lag of the load report. */
    public EngineConfigBuilder loadLagMillis(long value) {
        loadLagMillis = value;
        return this;
    }

    /** Sets the lag of cache events and which of them are lost. */
    public EngineConfigBuilder cacheEvents(long lagMillis, int gapEvery) {
        cacheEventLagMillis = lagMillis;
        cacheEventGapEvery = gapEvery;
        return this;
    }

    /** Sets whether old fencing numbers are refused. */
    public EngineConfigBuilder checksFencing(boolean value) {
        checksFencing = value;
        return this;
    }

    /** Sets the time that an order takes. */
    public EngineConfigBuilder orderMillis(long value) {
        orderMillis = value;
        return this;
    }

    /** Sets the time that a stream can be resumed. */
    public EngineConfigBuilder resumeMillis(long value) {
        resumeMillis = value;
        return this;
    }

    /** The configuration. */
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
