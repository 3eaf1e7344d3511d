package org.dragonflygw.core.exchange;

import java.util.HashSet;
import java.util.OptionalInt;
import java.util.Set;
import org.dragonflygw.core.discovery.DiscoveredEndpoint;
import org.dragonflygw.core.dispatch.EndpointLoads;
import org.dragonflygw.core.dispatch.LoadReport;
import org.dragonflygw.core.lease.MonotonicClock;
import org.dragonflygw.core.log.EventLog;
import org.dragonflygw.core.log.LogLine;
import org.dragonflygw.core.log.LogTopic;
import org.dragonflygw.core.ratelimit.RateLog;
import org.dragonflygw.core.ratelimit.RateStatement;

/**
 * Applies what endpoints say of themselves in their responses, whether or not anyone still waits for the response. Not
 * thread-safe.
 */
public final class EndpointNotices {
    private static final long NANOS_PER_MS = 1_000_000;

    /** Largest number of instances whose unreadable load reports are logged. */
    private static final int MAX_UNREADABLE = 1_000;

    private final Set<String> unreadableLoads = new HashSet<>();
    private final EndpointLoads loads;
    private final EventLog log;
    private final MonotonicClock clock;
    private final RateLog rateLog;
    private final ColdListener coldListener;
    private final RejectionPauses pauses;

    /** Receives what endpoints say of being cold. */
    @FunctionalInterface
    public interface ColdListener {
        /**
         * Called for each response that says so.
         *
         * @param leftMs remaining time in milliseconds; negative if it cannot be read
         */
        void onResponse(DiscoveredEndpoint endpoint, long leftMs);
    }

    /** Creates notices of endpoints that are never cold. */
    public EndpointNotices(EndpointLoads loads, EventLog log, MonotonicClock clock) {
        this(loads, (endpoint, leftMs) -> {}, RejectionPauses.ofOneHost(), log, clock);
    }

    public EndpointNotices(
            EndpointLoads loads,
            ColdListener coldListener,
            RejectionPauses pauses,
            EventLog log,
            MonotonicClock clock) {
        this.pauses = pauses;
        this.loads = loads;
        this.coldListener = coldListener;
        this.log = log;
        this.clock = clock;
        this.rateLog = new RateLog(loads.rates(), log);
    }

    /**
     * Applies the notice in the head of a response. A misdirected response comes from another instance and is ignored.
     *
     * @param endpoint endpoint that the request was sent to
     * @param request id of the request that was sent last on the connection
     * @param sentNanos when the request that is answered was sent, on the monotonic clock;
     *     {@link RateStatement#UNKNOWN_SENT} if the response is to an unknown one
     */
    public void accept(DiscoveredEndpoint endpoint, ResponseHead head, String request, long sentNanos) {
        if (head.isMisdirected()) {
            return;
        }
        long now = clock.nanos();
        EndpointNotice notice = head.notice();
        if (notice.leaving() && loads.onLeaving(endpoint.id(), endpoint.startedMs(), now)) {
            line(endpoint, request)
                    .with("outcome", "leaving by its own response")
                    .end();
        }
        if (notice.quietMs() > 0) {
            loads.onQuiet(endpoint, now + notice.quietMs() * NANOS_PER_MS);
            line(endpoint, request)
                    .with("outcome", "quiet by its own response")
                    .with("quietMs", notice.quietMs())
                    .end();
        }
        if (notice.coldLeftMs() != 0) {
            coldListener.onResponse(endpoint, notice.coldLeftMs());
        }
        acceptBrittleness(endpoint, head, request, now);
        boolean unreadable = head.load()
                .filter(l -> l.workPercent() == LoadReport.UNREADABLE)
                .isPresent();
        if (unreadable && unreadableLoads.size() < MAX_UNREADABLE && unreadableLoads.add(endpoint.instanceKey())) {
            line(endpoint, request)
                    .with("outcome", "load report ignored: work time is not a positive number")
                    .end();
        }
        rateLog.accept(
                loads.rates().of(endpoint.id(), endpoint.startedMs()),
                new RateStatement(notice.rate(), sentNanos, now),
                request);
    }

    /** Called when an endpoint ended or refused a connection. */
    public void onConnectionLost(DiscoveredEndpoint endpoint) {
        loads.onConnectionLost(endpoint, clock.nanos());
    }

    /** Called for bytes of an endpoint on a connection that was opened at a time of the monotonic clock. */
    public void onHeard(DiscoveredEndpoint endpoint, long openedNanos) {
        loads.onHeard(endpoint, openedNanos);
    }

    private void acceptBrittleness(DiscoveredEndpoint endpoint, ResponseHead head, String request, long now) {
        EndpointNotice notice = head.notice();
        if (notice.isBrittle() && loads.onBrittle(endpoint, notice.brittle(), now)) {
            line(endpoint, request)
                    .with("outcome", "service brittle by its own response")
                    .with("rejectionsPerSecond", notice.brittle())
                    .end();
        }
        if (!head.notExecuted()) {
            return;
        }
        OptionalInt perSecond = loads.borneRejections(endpoint, now);
        if (perSecond.isPresent()) {
            long pauseMs = pauses.pauseMs(perSecond.getAsInt());
            loads.onQuiet(endpoint, now + pauseMs * NANOS_PER_MS);
            line(endpoint, request)
                    .with("outcome", "spared after a rejection, as it is brittle")
                    .with("quietMs", pauseMs)
                    .end();
        }
    }

    private LogLine line(DiscoveredEndpoint endpoint, String request) {
        return log.line(LogTopic.ENDPOINT)
                .with("request", request)
                .with("endpoint", endpoint.id())
                .with("service", endpoint.service())
                .with("zone", endpoint.zone());
    }
}
