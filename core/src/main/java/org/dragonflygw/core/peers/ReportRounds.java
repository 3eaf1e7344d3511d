package org.dragonflygw.core.peers;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.dragonflygw.core.settings.HostAddress;
import org.dragonflygw.core.storenews.StoreNews;

/**
 * Decides what this host sends to which peers in each round. Peers whose loads are part of the same sums as this host's
 * get short reports without loads, and few of them while there is nothing urgent. Not thread-safe.
 */
public final class ReportRounds {
    /** Interval between rounds in milliseconds: shorter than most requests, so that peers see a load while it lasts. */
    public static final long INTERVAL_MS = 200;

    /** Number of hosts that one round sends to. */
    private static final int FAN_OUT = 8;

    /** Number of these that get a report without loads and without anything urgent. */
    private static final int CALM_FAN_OUT = 1;

    /** Number of messages to the relay that hold a prompt prefix, so that one lost message does no harm. */
    private static final int MESSAGES_PER_HOLDING = 2;

    private final PeerTable peers;
    private final HostReportFactory reports;
    private final FleetLoads fleet;
    private final RandomGenerator random;
    private final ReportTargets targets;
    private final ReportUrgency urgency = new ReportUrgency();
    private final Set<HostAddress> told = new HashSet<>();

    public ReportRounds(PeerTable peers, HostReportFactory reports, FleetLoads fleet, RandomGenerator random) {
        this.peers = peers;
        this.reports = reports;
        this.fleet = fleet;
        this.random = random;
        this.targets = new ReportTargets(FAN_OUT, random);
    }

    /**
     * Returns what to send in a round, and brings the loads of the endpoints up to date.
     *
     * @param news what this host has read from the store
     */
    public RoundOfReports next(StoreNews news) {
        List<HostAddress> addresses = peers.addresses();
        int rounds = targets.rounds(addresses.size());
        HostReport report = reports.next(rounds, news);
        LoadMessages loads =
                fleet.nextRound(reports.holdingsOfLastRounds(MESSAGES_PER_HOLDING * fleet.roundsPerInterval()));
        peers.refreshPeerLoads(fleet.current());
        boolean urgent = urgency.isUrgent(report, rounds);
        List<RoundOfReports.Addressed> addressed = address(report, targets.next(addresses), urgent);
        addressed.forEach(a -> told.addAll(a.targets()));
        if (told.size() > 2 * addresses.size()) {
            told.retainAll(addresses);
        }
        return new RoundOfReports(addressed, loads);
    }

    private List<RoundOfReports.Addressed> address(HostReport report, List<HostAddress> next, boolean urgent) {
        Optional<FleetSum> sums = fleet.includingThisHost();
        if (sums.isEmpty()) {
            return List.of(new RoundOfReports.Addressed(report, next));
        }
        Set<HostAddress> outside = peers.heardOutside(sums.get());
        List<HostAddress> direct = next.stream().filter(outside::contains).toList();
        List<HostAddress> inSums = new ArrayList<>(next);
        inSums.removeAll(direct);
        if (!urgent) {
            keepCalm(inSums);
        }
        List<RoundOfReports.Addressed> addressed = new ArrayList<>();
        if (!direct.isEmpty()) {
            addressed.add(new RoundOfReports.Addressed(report, direct));
        }
        if (!inSums.isEmpty()) {
            addressed.add(new RoundOfReports.Addressed(report.withoutLoads(), inSums));
        }
        return addressed;
    }

    /** Leaves few of those hosts that know this one by a report, and all others. */
    private void keepCalm(List<HostAddress> hosts) {
        List<HostAddress> known = new ArrayList<>(hosts);
        known.retainAll(told);
        while (known.size() > CALM_FAN_OUT) {
            hosts.remove(known.remove(random.nextInt(known.size())));
        }
    }

    /**
     * Returns a short report without prompt prefixes, to be sent to many hosts as soon as the store has news; also without
     * loads if they travel as sums.
     */
    public HostReport shortReport(StoreNews news) {
        HostReport report = reports.nextWithoutHoldings(news);
        return fleet.includingThisHost().isPresent() ? report.withoutLoads() : report;
    }
}
