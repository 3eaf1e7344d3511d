package org.dragonflygw.core.peers;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.dragonflygw.core.dispatch.EndpointLoadState;
import org.dragonflygw.core.dispatch.EndpointLoads;
import org.dragonflygw.core.lease.MonotonicClock;
import org.dragonflygw.core.retry.CrashSuspects;
import org.dragonflygw.core.settings.HostAddress;
import org.dragonflygw.core.storenews.StoreNews;

/** Makes this host's reports. Each prompt is told in several, so that one lost message does not matter. */
public final class HostReportFactory {
    /** Prompts in one report: keeps a message within one packet of a usual network. */
    private static final int MAX_HOLDINGS = 24;

    /** Reports in which each prompt is told to the same host. */
    private static final int REPEATS = 2;

    /** Failure score from which an endpoint is told of although nothing is under way there. */
    private static final double MIN_FAILURES = 0.2;

    private final String host;
    private final HostAddress address;
    private final long startedMs;
    private final EndpointLoads loads;
    private final CrashSuspects crashes;
    private final MonotonicClock clock;
    private final Deque<Told> recent = new ArrayDeque<>();
    private long sequence;

    /** Makes a maker of reports. */
    public HostReportFactory(
            String host,
            HostAddress address,
            long startedMs,
            EndpointLoads loads,
            CrashSuspects crashes,
            MonotonicClock clock) {
        this.host = host;
        this.address = address;
        this.startedMs = startedMs;
        this.loads = loads;
        this.crashes = crashes;
        this.clock = clock;
    }

    /**
     * Makes the next report.
     *
     * @param rounds reports after which all hosts were told once
     * @param news what this host has read of the store
     */
    public HostReport next(int rounds, StoreNews news) {
        sequence++;
        loads.takeNewHoldings().forEach(h -> recent.addLast(new Told(h, sequence)));
        while (recent.size() > MAX_HOLDINGS
                || (!recent.isEmpty() && sequence - recent.peekFirst().since >= (long) rounds * REPEATS)) {
            recent.removeFirst();
        }
        List<PromptHolding> holdings = new ArrayList<>();
        recent.forEach(t -> holdings.add(t.holding));
        return new HostReport(
                host, address, startedMs, sequence, uses(), holdings, crashes.recentLosses(clock.nanos()), news);
    }

    private List<EndpointUse> uses() {
        List<EndpointUse> uses = new ArrayList<>();
        long now = clock.nanos();
        for (EndpointLoadState e : loads.all()) {
            double failures = e.ownFailureScore(now);
            if (e.inFlight() > 0 || failures >= MIN_FAILURES) {
                uses.add(new EndpointUse(e.entry().id(), e.inFlight(), e.unreadTokens(), failures));
            }
        }
        return uses;
    }

    private record Told(PromptHolding holding, long since) {}
}
