package org.dragonflygw.core.exchange;

import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import org.dragonflygw.core.discovery.DiscoveredEndpoint;
import org.dragonflygw.core.dispatch.Choice;
import org.dragonflygw.core.dispatch.EndpointLoadState;
import org.dragonflygw.core.dispatch.PromptPart;
import org.dragonflygw.core.log.EventLog;
import org.dragonflygw.core.log.LogLine;
import org.dragonflygw.core.log.LogTopic;
import org.dragonflygw.core.ratelimit.PermitDecision;
import org.dragonflygw.core.resume.OriginDecision;
import org.dragonflygw.core.resume.StreamOrigin;
import org.dragonflygw.core.retry.RetryDecision;

/** Writes the log lines of one exchange: each dispatch, each failed attempt, a refusal, and the end. */
final class ExchangeLog {
    private static final long NANOS_PER_MS = 1_000_000;

    /** The log has integers: limits in hundredths of a request per second. */
    private static final double HUNDREDTHS = 100;

    private final ExchangeRequest request;
    private final EventLog log;

    ExchangeLog(ExchangeRequest request, EventLog log) {
        this.request = request;
        this.log = log;
    }

    /** Logs whether a request may be sent to an endpoint that names a limit. */
    void permitDecided(EndpointLoadState endpoint, PermitDecision decision) {
        LogLine line = log.line(LogTopic.PERMIT)
                .with("request", request.id())
                .with("endpoint", endpoint.entry().id())
                .with("granted", decision.granted())
                .with("owner", decision.owner())
                .with("waitMs", decision.waitMs());
        if (Double.isFinite(decision.requestsPerSecond())) {
            line.with("limitHundredths", Math.round(decision.requestsPerSecond() * HUNDREDTHS));
        }
        line.end();
    }

    /** Logs where a stream may go on that the caller takes up. */
    void originDecided(OriginDecision decision) {
        log.line(LogTopic.RESUME)
                .with("request", request.id())
                .with("service", request.service().name())
                .with(
                        "resumes",
                        request.resumption().map(Resumption::originAttempt).orElse(null))
                .with(
                        "lastEventId",
                        request.resumption().map(Resumption::lastEventId).orElse(null))
                .with("outcome", decision.source().name())
                .with("version", decision.origin().map(StreamOrigin::version).orElse(null))
                .with("peer", decision.peer())
                .with("asked", decision.asked())
                .end();
    }

    void dispatched(Choice choice, int attempt, long remainingMs, long nowNanos) {
        EndpointLoadState endpoint = choice.endpoint().orElseThrow();
        log.line(LogTopic.DISPATCH)
                .with("request", request.id())
                .with("route", request.route().name())
                .with("team", request.team())
                .with("endpoint", endpoint.entry().id())
                .with("version", endpoint.entry().version())
                .with(
                        "resumes",
                        request.resumption().map(Resumption::originAttempt).orElse(null))
                .with("loadTenths", (long) (endpoint.load(nowNanos) * 10))
                .with("boundTenths", (long) (choice.loadBound() * 10))
                .with("preference", choice.preference().name())
                .with("serviceEndpoints", endpoint.traffic().endpointCount())
                .with("loadAgeMs", endpoint.loadAgeMs(nowNanos))
                .with("workPercent", endpoint.workPercent(nowNanos))
                .with("speedAgeMs", endpoint.speedAgeMs(nowNanos))
                .with("promptKey", Long.toHexString(request.prompt().sharedKey()))
                .with("uncachedTokens", choice.uncachedTokens())
                .with(
                        "cacheSource",
                        choice.cacheSource().map(DiscoveredEndpoint::id).orElse(null))
                .with("expectedMs", choice.expectedMs())
                .with("remainingMs", remainingMs)
                .with("attempt", attempt)
                .end();
    }

    /**
     * Logs an attempt that ended without a complete response.
     *
     * @param progress how far the response of the endpoint had come
     */
    void attemptFailed(
            EndpointLoadState endpoint, String outcome, int status, long durationNanos, ResponseProgress progress) {
        log.line(LogTopic.ATTEMPT_FAILED)
                .with("request", request.id())
                .with("endpoint", endpoint.entry().id())
                .with("outcome", outcome)
                .with("status", status)
                .with("attemptMs", durationNanos / NANOS_PER_MS)
                .with("progress", progress.name())
                .with("fingerprint", Long.toHexString(request.fingerprint()))
                .with("promptParts", hexIds(request.prompt().sharedParts()))
                .end();
    }

    /** Logs what becomes of an attempt at a silent endpoint. */
    void silent(EndpointLoadState endpoint, String outcome, long silentNanos) {
        silence(endpoint, outcome, null, silentNanos);
    }

    /** Logs why an attempt at a silent endpoint is not replaced. */
    void kept(EndpointLoadState endpoint, String reason, long silentNanos) {
        silence(endpoint, "kept", reason, silentNanos);
    }

    private void silence(EndpointLoadState endpoint, String outcome, String reason, long silentNanos) {
        log.line(LogTopic.SILENCE)
                .with("request", request.id())
                .with("endpoint", endpoint.entry().id())
                .with("version", endpoint.entry().version())
                .with("outcome", outcome)
                .with("reason", reason)
                .with("silentMs", silentNanos / NANOS_PER_MS)
                .end();
    }

    /** Returns the ids of prompt parts, separated by spaces; null if there are none. */
    private static String hexIds(List<PromptPart> parts) {
        return parts.isEmpty()
                ? null
                : parts.stream().map(p -> Long.toHexString(p.id())).collect(Collectors.joining(" "));
    }

    void retryDecided(RetryDecision decision) {
        log.line(LogTopic.RETRY)
                .with("request", request.id())
                .with("service", request.service().name())
                .with("granted", decision.granted())
                .with("requests", decision.requests())
                .with("retries", decision.retries())
                .with("allowedTenths", (long) (decision.allowed() * 10))
                .with("creditTenths", (long) (decision.credit() * 10))
                .with("hosts", decision.hosts().orElse(0))
                .end();
    }

    void refused(RejectReason reason, long expectedMs, long remainingMs) {
        log.line(LogTopic.REFUSE)
                .with("request", request.id())
                .with("route", request.route().name())
                .with("team", request.team())
                .with("reason", reason.name())
                .with("expectedMs", expectedMs)
                .with("remainingMs", remainingMs)
                .with("fingerprint", Long.toHexString(request.fingerprint()))
                .with(
                        "promptParts",
                        reason == RejectReason.CRASHING_PROMPT_PART
                                ? hexIds(request.prompt().sharedParts())
                                : null)
                .end();
    }

    /** Logs the end of the request. */
    void ended(String outcome, int status, Optional<EndpointLoadState> endpoint, ResponseTimes times, long nowNanos) {
        LogLine line = log.line(LogTopic.END)
                .with("request", request.id())
                .with("route", request.route().name())
                .with("outcome", outcome)
                .with("status", status)
                .with("totalMs", (nowNanos - request.arrivedNanos()) / NANOS_PER_MS);
        if (times.firstPartNanos() != 0) {
            line.with("firstPartMs", (times.firstPartNanos() - request.arrivedNanos()) / NANOS_PER_MS);
            line.with("longestGapMs", times.longestGapNanos() / NANOS_PER_MS);
        }
        endpoint.ifPresent(e -> line.with("endpoint", e.entry().id()));
        line.end();
    }
}
