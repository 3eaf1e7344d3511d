package org.dragonflygw.daemon.grant;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.google.inject.Inject;
import com.google.inject.Singleton;

/** Counters and histograms of grants. Thread-safe. */
@Singleton
final class GrantMetrics {
    private final Counter calls;
    private final Counter given;
    private final Counter refused;
    private final Counter spilled;
    private final Counter unreachable;
    private final Counter local;
    private final Counter expired;
    private final Histogram queued;
    private final Histogram search;

    @Inject
    GrantMetrics(MetricRegistry metrics) {
        calls = metrics.counter("dragonflygw.grant.calls.count");
        given = metrics.counter("dragonflygw.grant.given.count");
        refused = metrics.counter("dragonflygw.grant.refused.count");
        spilled = metrics.counter("dragonflygw.grant.spilled.count");
        unreachable = metrics.counter("dragonflygw.grant.unreachable.count");
        local = metrics.counter("dragonflygw.grant.local.count");
        expired = metrics.counter("dragonflygw.grant.expired.count");
        queued = metrics.histogram("dragonflygw.grant.queued.millis");
        search = metrics.histogram("dragonflygw.grant.search.micros");
    }

    void recordGranted(int calls, boolean isSpilled, long queuedMillis, long searchMicros) {
        this.calls.inc(calls);
        given.inc();
        spilled.inc(isSpilled ? 1 : 0);
        queued.update(queuedMillis);
        search.update(searchMicros);
    }

    void recordRefused(int calls) {
        this.calls.inc(calls);
        refused.inc();
    }

    void recordUnreachable() {
        unreachable.inc();
    }

    void recordLocal() {
        local.inc();
    }

    void recordExpired(int count) {
        expired.inc(count);
    }
}
