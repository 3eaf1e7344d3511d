package org.dragonflygw.core.ratelimit;

import org.dragonflygw.core.log.EventLog;
import org.dragonflygw.core.log.LogLine;
import org.dragonflygw.core.log.LogTopic;

/** Applies statements about limits of endpoints and logs each change of what this host believes. Not thread-safe. */
public final class RateLog {
    /** The log has integers: limits in hundredths of a request per second. */
    private static final double HUNDREDTHS = 100;

    private static final long NANOS_PER_MS = 1_000_000;

    private final EndpointRates rates;
    private final EventLog log;

    public RateLog(EndpointRates rates, EventLog log) {
        this.rates = rates;
        this.log = log;
    }

    /** Applies what another host told. */
    public void accept(RateReport report, String peer, long nowNanos) {
        EndpointRate rate = rates.of(report.endpoint(), report.startedMs());
        double before = rate.namedPerSecond();
        if (rates.accept(report, nowNanos)) {
            logChange(rate, before, "told by a peer", "peer", peer, report.sentAgeMs());
        }
    }

    /**
     * Applies what an endpoint said in a response to this host.
     *
     * @param request id of the request that was answered
     */
    public void accept(EndpointRate rate, RateStatement statement, String request) {
        if (statement.notice().kind() == RateNotice.Kind.UNREADABLE) {
            log.line(LogTopic.ENDPOINT)
                    .with("endpoint", rate.endpoint())
                    .with("outcome", "unreadable limit")
                    .with("request", request)
                    .end();
            return;
        }
        double before = rate.namedPerSecond();
        if (rate.accept(statement, statement.heardNanos())) {
            long ageMs = (statement.heardNanos() - statement.sentNanos()) / NANOS_PER_MS;
            logChange(rate, before, "by its own response", "request", request, ageMs);
        }
    }

    private void logChange(
            EndpointRate rate, double before, String how, String sourceField, String source, long sentAgeMs) {
        LogLine line = log.line(LogTopic.ENDPOINT)
                .with("endpoint", rate.endpoint())
                .with("outcome", (rate.namesLimit() ? "limit " : "limit ended ") + how)
                .with(sourceField, source)
                .with("sentAgeMs", sentAgeMs);
        withLimit(line, "limitHundredths", rate.namedPerSecond());
        withLimit(line, "beforeHundredths", before);
        line.end();
    }

    private static void withLimit(LogLine line, String field, double requestsPerSecond) {
        if (Double.isFinite(requestsPerSecond)) {
            line.with(field, Math.round(requestsPerSecond * HUNDREDTHS));
        }
    }
}
