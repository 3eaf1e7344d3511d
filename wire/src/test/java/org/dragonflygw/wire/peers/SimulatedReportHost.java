package org.dragonflygw.wire.peers;

import java.util.List;
import org.dragonflygw.core.crash.CrashSuspects;
import org.dragonflygw.core.crash.CrashingParts;
import org.dragonflygw.core.dispatch.EndpointLoads;
import org.dragonflygw.core.evacuation.EvacuationNews;
import org.dragonflygw.core.log.NoOpEventLog;
import org.dragonflygw.core.peers.FleetLoad;
import org.dragonflygw.core.peers.FleetLoads;
import org.dragonflygw.core.peers.HostLoad;
import org.dragonflygw.core.peers.HostRanking;
import org.dragonflygw.core.peers.HostReport;
import org.dragonflygw.core.peers.HostReportFactory;
import org.dragonflygw.core.peers.LoadMessages;
import org.dragonflygw.core.peers.PeerTable;
import org.dragonflygw.core.peers.ReportRounds;
import org.dragonflygw.core.peers.ReportTargets;
import org.dragonflygw.core.peers.RoundOfReports;
import org.dragonflygw.core.ratelimit.PermitReply;
import org.dragonflygw.core.ratelimit.PermitRequest;
import org.dragonflygw.core.resume.OriginReply;
import org.dragonflygw.core.resume.StreamOrigin;
import org.dragonflygw.core.settings.HostAddress;
import org.dragonflygw.core.storenews.ConfigurationNews;
import org.dragonflygw.core.storenews.StoreNews;
import org.dragonflygw.wire.codec.HostReportCodec;
import org.dragonflygw.wire.codec.PeerMessageCodec;
import org.dragonflygw.wire.codec.PeerMessageHandler;

/** One process of a simulated host, which exchanges reports with the others as an edge process does. */
final class SimulatedReportHost {
    private static final StoreNews NEWS = new StoreNews(
            7,
            true,
            90_000,
            300,
            89_000,
            List.of(),
            new ConfigurationNews(812, 40, 300, List.of()),
            EvacuationNews.UNKNOWN);

    final int index;
    final Traffic traffic = new Traffic();
    EndpointLoads loads;
    PeerTable peers;
    FleetLoads fleet;
    boolean alive = true;
    boolean frozen;

    /** Whether the process has a software version that knows no sums. */
    boolean earlierVersion;

    int side;

    private final SimulatedReportNetwork network;
    private final String name;
    private final HostReportCodec reportCodec = new HostReportCodec();
    private final PeerMessageCodec codec = new PeerMessageCodec();
    private HostReportFactory reports;
    private ReportTargets targets;
    private ReportRounds rounds;
    private long nextRoundMs;

    SimulatedReportHost(int index, SimulatedReportNetwork network) {
        this.index = index;
        this.name = "host-" + index;
        this.network = network;
        start();
    }

    /** Begins a new process without any knowledge. */
    void start() {
        NoOpEventLog log = new NoOpEventLog();
        alive = true;
        loads = new EndpointLoads();
        peers = new PeerTable(name, loads, log, network);
        reports = new HostReportFactory(
                name, address(index), network.nowMs(), loads, new CrashSuspects(log), new CrashingParts(log), network);
        fleet = new FleetLoads(
                name, network.nowMs(), peers, loads, new HostRanking(name, peers::hostNames, network), log, network);
        targets = new ReportTargets(8, network.random.split());
        rounds = new ReportRounds(peers, reports, fleet, network.random.split());
        nextRoundMs = network.nowMs() + network.random.nextInt((int) ReportRounds.INTERVAL_MS);
    }

    private static HostAddress address(int index) {
        return new HostAddress("10.0.0.1", 10_000 + index);
    }

    private SimulatedReportHost at(HostAddress address) {
        return network.hosts.get(address.port() - 10_000);
    }

    /** Reads the first rows of the list of hosts; those that are not running are listed too. */
    void list(int count, boolean complete) {
        for (int i = 0; i < count; i++) {
            peers.onHostListed("host-" + i, address(i));
        }
        if (complete) {
            peers.onListComplete();
        }
    }

    void step() {
        if (!alive || frozen || network.nowMs() < nextRoundMs) {
            return;
        }
        nextRoundMs += ReportRounds.INTERVAL_MS;
        if (earlierVersion) {
            peers.refreshPeerLoads();
            sendReport(reports.next(targets.rounds(peers.size()), NEWS), targets.next(peers.addresses()));
            return;
        }
        RoundOfReports round = rounds.next(NEWS);
        round.reports().forEach(r -> sendReport(r.report(), r.targets()));
        LoadMessages messages = round.loads();
        messages.own().ifPresent(m -> send(codec.encode(m), messages.ownTargets()));
        messages.sums().ifPresent(m -> send(codec.encode(m), messages.sumTargets()));
    }

    private void sendReport(HostReport report, List<HostAddress> to) {
        byte[] content = reportCodec.encode(report);
        HostReport arriving = reportCodec.decode(content);
        to.forEach(
                a -> network.send(this, at(a), content.length, () -> at(a).peers.onReport(arriving)));
    }

    private void send(byte[] content, List<HostAddress> to) {
        to.forEach(a -> network.send(this, at(a), content.length, () -> at(a).receive(content)));
    }

    private void receive(byte[] content) {
        if (!frozen && !earlierVersion) {
            codec.decode(content, new Receiver(content));
        }
    }

    private final class Receiver implements PeerMessageHandler {
        private final byte[] content;

        Receiver(byte[] content) {
            this.content = content;
        }

        @Override
        public void onHostLoad(HostLoad load) {
            fleet.onHostLoad(load);
        }

        @Override
        public void onFleetLoad(FleetLoad load) {
            send(content, fleet.onFleetLoad(load));
        }

        @Override
        public void onPermitRequest(long id, PermitRequest request) {}

        @Override
        public void onPermitReply(long id, PermitReply reply) {}

        @Override
        public void onStreamOrigin(String attempt, StreamOrigin origin) {}

        @Override
        public void onOriginRequest(long id, String attempt, String service) {}

        @Override
        public void onOriginReply(long id, OriginReply reply) {}
    }
}
