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

/**
 * Counters, gauges and a latency histogram of this process, exported as text with one metric per line. A metric that
 * measures a quantity has the unit in its name. Counters may be updated by any thread, the latency histogram by the
 * event loop only.
 */
public final class EdgeMetrics {
    private static final long MAX_LATENCY_MS = 120_000;
    private static final int LATENCY_SIGNIFICANT_DIGITS = 2;
    private static final double[] PERCENTILES = {50, 90, 99, 100};

    private final MetricRegistry registry;
    private final Map<RejectReason, Counter> rejections = new EnumMap<>(RejectReason.class);
    private final Histogram responseMs = new Histogram(MAX_LATENCY_MS, LATENCY_SIGNIFICANT_DIGITS);
    private final Counter requestsSent;
    private final Counter responsesCompleted;
    private final Counter responsesAborted;
    private final Counter malformedRequests;
    private final Counter malformedResponses;
    private final Counter unexpectedResponses;
    private final Counter relayed;
    private final Counter connections;
    private final Counter callerErrors;
    private final Counter closedForMemory;
    private final Counter storeCalls;
    private final Counter storeFailures;

    /** Creates the counters in a registry. */
    public EdgeMetrics(MetricRegistry registry) {
        this.registry = registry;
        for (RejectReason r : RejectReason.values()) {
            rejections.put(r, registry.counter("requests_rejected_" + r.name().toLowerCase(Locale.ROOT) + "_total"));
        }
        requestsSent = registry.counter("requests_sent_to_endpoints_total");
        responsesCompleted = registry.counter("requests_answered_total");
        responsesAborted = registry.counter("answers_cut_total");
        malformedRequests = registry.counter("requests_malformed_total");
        malformedResponses = registry.counter("endpoint_responses_malformed_total");
        unexpectedResponses = registry.counter("endpoint_responses_unexpected_total");
        relayed = registry.counter("requests_passed_to_hosts_total");
        connections = registry.counter("endpoint_connections_opened_total");
        callerErrors = registry.counter("caller_connection_errors_total");
        closedForMemory = registry.counter("connections_closed_for_memory_total");
        storeCalls = registry.counter("store_calls_total");
        storeFailures = registry.counter("store_call_failures_total");
    }

    /** Called when a connection is closed because the memory for heads is used up. */
    public void onClosedForMemory() {
        closedForMemory.inc();
    }

    /** Registers a gauge whose value is read each time the metrics are exported. */
    public void registerGauge(String name, LongSupplier value) {
        Gauge<Long> gauge = value::getAsLong;
        registry.register(name, gauge);
    }

    /** Counts a request sent to an endpoint. */
    public void onRequestSent() {
        requestsSent.inc();
    }

    /** Counts a request passed to another host. */
    public void onRelayed() {
        relayed.inc();
    }

    /** Counts a complete response and records its latency in nanoseconds since the request's head was read. */
    public void onResponseCompleted(long nanos) {
        responsesCompleted.inc();
        responseMs.recordValue(Math.min(MAX_LATENCY_MS, TimeUnit.NANOSECONDS.toMillis(nanos)));
    }

    /** Counts a response that was aborted before its end. */
    public void onResponseAborted() {
        responsesAborted.inc();
    }

    /** Counts a malformed request. */
    public void onMalformedRequest() {
        malformedRequests.inc();
    }

    /** Counts bytes of an endpoint that are no response to the request that was sent. */
    public void onMalformedResponse() {
        malformedResponses.inc();
    }

    /** Counts bytes of an endpoint that belong to another request or to none. */
    public void onUnexpectedResponse() {
        unexpectedResponses.inc();
    }

    /** Counts a request that this host answered with an error of its own. */
    public void onRejected(RejectReason reason) {
        rejections.get(reason).inc();
    }

    /** Counts a connection opened to an endpoint. */
    public void onEndpointConnectionOpened() {
        connections.inc();
    }

    /** Counts a caller's connection that failed. */
    public void onCallerConnectionError() {
        callerErrors.inc();
    }

    /** Counts a call of the store. */
    public void onStoreCall() {
        storeCalls.inc();
    }

    /** Counts a failed call of the store. */
    public void onStoreCallFailed() {
        storeFailures.inc();
    }

    /** Returns all metrics as text, one per line: the name, a space and the value. */
    public String text() {
        StringBuilder text = new StringBuilder(2_048);
        registry.getCounters().forEach((name, c) -> append(text, name, c.getCount()));
        registry.getGauges().forEach((name, g) -> append(text, name, (Long) g.getValue()));
        append(text, "answer_ms_count", responseMs.getTotalCount());
        for (double p : PERCENTILES) {
            append(text, "answer_ms_p" + (int) p, responseMs.getValueAtPercentile(p));
        }
        return text.toString();
    }

    private static void append(StringBuilder text, String name, long value) {
        text.append("dragonflygw_").append(name).append(' ').append(value).append('\n');
    }
}
