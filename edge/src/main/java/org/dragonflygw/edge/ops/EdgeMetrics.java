package org.dragonflygw.edge.ops;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.HdrHistogram.Histogram;
import org.dragonflygw.core.exchange.RejectReason;

/** Counters and latency histograms of this process, as text with a line for each figure. Names end in their unit. */
public final class EdgeMetrics {
    private static final long MAX_LATENCY_MS = 120_000;
    private static final int LATENCY_DIGITS = 2;
    private static final double[] PERCENTILES = {50, 90, 99, 100};

    private final MetricRegistry registry;
    private final Map<RejectReason, Counter> onRejected = new EnumMap<>(RejectReason.class);
    private final Histogram answerMs = new Histogram(MAX_LATENCY_MS, LATENCY_DIGITS);
    private final Counter onRequestSent;
    private final Counter onResponseCompleted;
    private final Counter onResponseAborted;
    private final Counter onMalformedRequest;
    private final Counter connections;
    private final Counter callerErrors;
    private final Counter storeCalls;
    private final Counter storeFailures;

    /** Registers the metrics. */
    public EdgeMetrics(MetricRegistry registry) {
        this.registry = registry;
        for (RejectReason r : RejectReason.values()) {
            onRejected.put(r, registry.counter("requests_rejected_" + r.name().toLowerCase(Locale.ROOT) + "_total"));
        }
        onRequestSent = registry.counter("requests_sent_to_endpoints_total");
        onResponseCompleted = registry.counter("requests_answered_total");
        onResponseAborted = registry.counter("answers_cut_total");
        onMalformedRequest = registry.counter("requests_malformed_total");
        connections = registry.counter("endpoint_connections_opened_total");
        callerErrors = registry.counter("caller_connection_errors_total");
        storeCalls = registry.counter("store_calls_total");
        storeFailures = registry.counter("store_call_failures_total");
    }

    /** Adds a figure that is read when asked for. */
    public void registerGauge(String name, LongSupplier value) {
        Gauge<Long> gauge = value::getAsLong;
        registry.register(name, gauge);
    }

    /** A request was sent to an endpoint. */
    public void onRequestSent() {
        onRequestSent.inc();
    }

    /** An answer ended as whole, this long after the request's head was read. */
    public void onResponseCompleted(long nanos) {
        onResponseCompleted.inc();
        answerMs.recordValue(Math.min(MAX_LATENCY_MS, TimeUnit.NANOSECONDS.toMillis(nanos)));
    }

    /** An answer was cut. */
    public void onResponseAborted() {
        onResponseAborted.inc();
    }

    /** A request was malformed. */
    public void onMalformedRequest() {
        onMalformedRequest.inc();
    }

    /** A request got this host's own answer. */
    public void onRejected(RejectReason reason) {
        onRejected.get(reason).inc();
    }

    /** A connection to an endpoint was opened. */
    public void onEndpointConnectionOpened() {
        connections.inc();
    }

    /** A connection of a caller failed. */
    public void onCallerConnectionError() {
        callerErrors.inc();
    }

    /** The store was called. */
    public void onStoreCall() {
        storeCalls.inc();
    }

    /** A call of the store failed. */
    public void onStoreCallFailed() {
        storeFailures.inc();
    }

    /** All metrics as text. */
    public String text() {
        StringBuilder text = new StringBuilder(2_048);
        registry.getCounters().forEach((name, c) -> append(text, name, c.getCount()));
        registry.getGauges().forEach((name, g) -> append(text, name, (Long) g.getValue()));
        append(text, "answer_ms_count", answerMs.getTotalCount());
        for (double p : PERCENTILES) {
            append(text, "answer_ms_p" + (int) p, answerMs.getValueAtPercentile(p));
        }
        return text.toString();
    }

    private static void append(StringBuilder text, String name, long value) {
        text.append("dragonflygw_").append(name).append(' ').append(value).append('\n');
    }
}
