package org.dragonflygw.daemon.caller;

import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import com.google.inject.Inject;
import com.google.inject.Singleton;

/** Metrics of the requests of callers. Thread-safe. */
@Singleton
public final class CallerMetrics {
    private final MetricRegistry registry;
    private final Meter received;
    private final Meter completed;
    private final Meter cancelled;
    private final Meter retries;

    @Inject
    public CallerMetrics(MetricRegistry registry) {
        this.registry = registry;
        this.received = registry.meter("dragonflygw.caller.received.requests");
        this.completed = registry.meter("dragonflygw.caller.completed.requests");
        this.cancelled = registry.meter("dragonflygw.caller.cancelled.requests");
        this.retries = registry.meter("dragonflygw.caller.retries.count");
    }

    void received() {
        received.mark();
    }

    void completed() {
        completed.mark();
    }

    void cancelled() {
        cancelled.mark();
    }

    void retried() {
        retries.mark();
    }

    void failed(CallerException e) {
        registry.meter("dragonflygw.caller.errors." + e.code().name() + "."
                        + e.run().wireName() + ".count")
                .mark();
    }
}
