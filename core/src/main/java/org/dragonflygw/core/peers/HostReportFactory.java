package org.dragonflygw.core.peers;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.dragonflygw.core.crash.CrashReport;
import org.dragonflygw.core.crash.CrashSuspects;
import org.dragonflygw.core.crash.CrashingParts;
import org.dragonflygw.core.crash.PartReport;
import org.dragonflygw.core.dispatch.EndpointLoadState;
import org.dragonflygw.core.dispatch.EndpointLoads;
import org.dragonflygw.core.lease.MonotonicClock;
import org.dragonflygw.core.ratelimit.RateReport;
import org.dragonflygw.core.settings.HostAddress;
import org.dragonflygw.core.storenews.StoreNews;

/**
 * Creates the reports that this host sends to its peers. Each prompt prefix is included in several reports, so that one
 * lost message does no harm. Not thread-safe.
 */
public final class HostReportFactory {
    /** Largest number of prompt prefixes per report, which keeps a message within one packet of a typical network. */
    private static final int MAX_HOLDINGS = 24;

    /** Number of reports to the same peer that include a prompt prefix. */
    private static final int REPORTS_PER_PEER = 2;

    /** Failure score from which an endpoint without requests in flight is reported. */
    private static final double MIN_REPORTED_FAILURE_SCORE = 0.2;

    private final String host;
    private final HostAddress address;
    private final long startedMs;
    private final EndpointLoads loads;
    private final CrashSuspects crashes;
    private final CrashingParts crashingParts;
    private final MonotonicClock clock;
    private final Deque<RecentHolding> recentHoldings = new ArrayDeque<>();
    private long sequence;
    private long round;

    /**
     * Creates a factory.
     *
     * @param host name of this host
     * @param address address at which this host receives reports
     * @param startedMs Unix time at which this process started, in milliseconds
     */
    public HostReportFactory(
            String host,
            HostAddress address,
            long startedMs,
            EndpointLoads loads,
            CrashSuspects crashes,
            CrashingParts crashingParts,
            MonotonicClock clock) {
        this.host = host;
        this.address = address;
        this.startedMs = startedMs;
        this.loads = loads;
        this.crashes = crashes;
        this.crashingParts = crashingParts;
        this.clock = clock;
    }

    /**
     * Creates the report of the next round.
     *
     * @param rounds number of reports until each peer has received one
     * @param news what this host has read from the store
     */
    public HostReport next(int rounds, StoreNews news) {
        round++;
        loads.takeNewHoldings().forEach(h -> recentHoldings.addLast(new RecentHolding(h, round)));
        while (recentHoldings.size() > MAX_HOLDINGS
                || (!recentHoldings.isEmpty()
                        && round - recentHoldings.peekFirst().firstRound >= (long) rounds * REPORTS_PER_PEER)) {
            recentHoldings.removeFirst();
        }
        long now = clock.nanos();
        return report(
                holdingsSince(0),
                crashes.nextReport(rounds, now),
                crashingParts.nextReport(rounds, now),
                loads.rates().nextReports(now),
                news);
    }

    /** Returns the prompt prefixes that were sent to endpoints in the last rounds. */
    List<PromptHolding> holdingsOfLastRounds(int rounds) {
        return holdingsSince(round - rounds);
    }

    private List<PromptHolding> holdingsSince(long firstRound) {
        return recentHoldings.stream()
                .filter(h -> h.firstRound > firstRound)
                .map(RecentHolding::holding)
                .toList();
    }

    /**
     * Creates a report without prompt prefixes and lost endpoints, to be sent to many hosts at once as soon as the store
     * has news. Short messages are not lost on a narrow link. What is left out stays in the next reports.
     */
    public HostReport nextWithoutHoldings(StoreNews news) {
        return report(List.of(), CrashReport.NONE, PartReport.NONE, List.of(), news);
    }

    private HostReport report(
            List<PromptHolding> holdings,
            CrashReport crashReport,
            PartReport partReport,
            List<RateReport> rates,
            StoreNews news) {
        return new HostReport(
                host,
                address,
                startedMs,
                ++sequence,
                uses(),
                holdings,
                crashReport,
                partReport,
                loads.recentLeaves(clock.nanos()),
                rates,
                news);
    }

    private List<EndpointUse> uses() {
        List<EndpointUse> uses = new ArrayList<>();
        long now = clock.nanos();
        for (EndpointLoadState e : loads.all()) {
            double failureScore = e.ownFailureScore(now);
            int held = e.held(now);
            if (held > 0 || failureScore >= MIN_REPORTED_FAILURE_SCORE) {
                uses.add(new EndpointUse(e.entry().id(), held, e.unreadTokens(), failureScore));
            }
        }
        return uses;
    }

    private record RecentHolding(PromptHolding holding, long firstRound) {}
}
