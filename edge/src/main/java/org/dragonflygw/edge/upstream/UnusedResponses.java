package org.dragonflygw.edge.upstream;

import org.dragonflygw.core.discovery.DiscoveredEndpoint;
import org.dragonflygw.core.log.EventLog;
import org.dragonflygw.core.log.LogLine;
import org.dragonflygw.core.log.LogTopic;
import org.dragonflygw.edge.ops.EdgeMetrics;

/** Logs and counts what endpoints send that reaches no caller, with the request that was sent last on the connection. */
final class UnusedResponses {
    private static final int MAX_REASON_CHARS = 120;

    private final EventLog log;
    private final EdgeMetrics metrics;

    UnusedResponses(EventLog log, EdgeMetrics metrics) {
        this.log = log;
        this.metrics = metrics;
    }

    /** Called for bytes that are no response to the open request, and after which the connection is closed. */
    void onMalformed(DiscoveredEndpoint endpoint, String request, String reason) {
        metrics.onMalformedResponse();
        line(endpoint, request, "malformed").with("reason", shortened(reason)).end();
    }

    /** Called for a whole response to another request, which is skipped. */
    void onOtherRequest(DiscoveredEndpoint endpoint, String request, int status) {
        metrics.onUnexpectedResponse();
        line(endpoint, request, "to another request").with("status", status).end();
    }

    /** Called for bytes that arrived while no request was open, and after which the connection is closed. */
    void onIdle(DiscoveredEndpoint endpoint, String request, long bytes) {
        metrics.onUnexpectedResponse();
        line(endpoint, request, "while idle").with("bytes", bytes).end();
    }

    /** Called for the beginning of a second response that came with the one to the request. */
    void onRemainder(DiscoveredEndpoint endpoint, String request) {
        metrics.onUnexpectedResponse();
        line(endpoint, request, "after the response").end();
    }

    private LogLine line(DiscoveredEndpoint endpoint, String request, String outcome) {
        return log.line(LogTopic.UNUSED_RESPONSE)
                .with("request", request)
                .with("endpoint", endpoint == null ? "" : endpoint.id())
                .with("outcome", outcome);
    }

    private static String shortened(String reason) {
        String text = String.valueOf(reason);
        return text.length() <= MAX_REASON_CHARS ? text : text.substring(0, MAX_REASON_CHARS);
    }
}
