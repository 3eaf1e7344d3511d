package org.dragonflygw.daemon.endpoint;

import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import com.google.inject.Inject;
import com.google.inject.Singleton;
import java.util.concurrent.TimeUnit;
import org.dragonflygw.core.stream.Verdict;

/** Metrics of token streams from engines. Thread-safe. */
@Singleton
public final class StreamMetrics {
    private final MetricRegistry registry;
    private final Timer firstToken;
    private final Timer tokenGap;
    private final Meter relayedTokens;
    private final Meter resumes;
    private final Meter lost;

    @Inject
    public StreamMetrics(MetricRegistry registry) {
        this.registry = registry;
        this.firstToken = registry.timer("dragonflygw.stream.first_token.seconds");
        this.tokenGap = registry.timer("dragonflygw.stream.token_gap.seconds");
        this.relayedTokens = registry.meter("dragonflygw.stream.relayed.tokens");
        this.resumes = registry.meter("dragonflygw.stream.resumes.count");
        this.lost = registry.meter("dragonflygw.stream.lost.count");
    }

    void firstToken(long nanos) {
        firstToken.update(nanos, TimeUnit.NANOSECONDS);
    }

    void tokenGap(long nanos) {
        tokenGap.update(nanos, TimeUnit.NANOSECONDS);
    }

    void relayed(long tokens) {
        relayedTokens.mark(tokens);
    }

    void resumed() {
        resumes.mark();
    }

    void streamLost() {
        lost.mark();
    }

    void rejected(Verdict verdict) {
        registry.meter("dragonflygw.stream.rejected." + verdict.name() + ".count")
                .mark();
    }
}
