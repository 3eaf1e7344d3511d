package org.dragonflygw.bench.peers;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.dragonflygw.core.crash.CrashSuspects;
import org.dragonflygw.core.crash.CrashingParts;
import org.dragonflygw.core.discovery.DiscoveredEndpoint;
import org.dragonflygw.core.dispatch.EndpointLoadState;
import org.dragonflygw.core.dispatch.EndpointLoads;
import org.dragonflygw.core.dispatch.Prompt;
import org.dragonflygw.core.dispatch.PromptPart;
import org.dragonflygw.core.lease.MonotonicClock;
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
import org.dragonflygw.core.storenews.StoreNews;
import org.dragonflygw.wire.codec.HostReportCodec;
import org.dragonflygw.wire.codec.PeerMessageCodec;
import org.dragonflygw.wire.codec.PeerMessageHandler;

/** All hosts of a fleet in one process, which exchange reports without a network. Not thread-safe. */
final class ReportFleet implements MonotonicClock {
    static final int UNCACHED_TOKENS = 320;

    private static final int SHARED_TOKENS = 2_000;
    private static final int FAN_OUT = 8;
    private static final int FIRST_PORT = 10_000;

    private final ReportCosts costs = new ReportCosts();
    private final List<Host> hosts = new ArrayList<>();
    private final SplittableRandom random = new SplittableRandom(7);
    private final HostReportCodec reportCodec = new HostReportCodec();
    private final PeerMessageCodec codec = new PeerMessageCodec();
    private final boolean sums;
    private long nowMs = 1_000_000;

    ReportFleet(int size, int engines, boolean sums) {
        this.sums = sums;
        for (int i = 0; i < size; i++) {
            hosts.add(new Host(i, size, engines));
        }
    }

    ReportCosts costs() {
        return costs;
    }

    int size() {
        return hosts.size();
    }

    long nowMs() {
        return nowMs;
    }

    @Override
    public long nanos() {
        return nowMs * 1_000_000;
    }

    void step(int ms) {
        nowMs += ms;
        hosts.forEach(Host::step);
    }

    /** Lets a host send a request; returns the engine as that host knows it. */
    EndpointLoadState send(int host, int engine, int subject) {
        EndpointLoads loads = hosts.get(host).loads;
        EndpointLoadState endpoint = loads.get("engine-" + engine).orElseThrow();
        Prompt prompt = new Prompt(
                List.of(
                        new PromptPart(subject * 0x9E3779B97F4A7C15L, SHARED_TOKENS),
                        new PromptPart(random.nextLong(), UNCACHED_TOKENS)),
                SHARED_TOKENS + UNCACHED_TOKENS,
                SHARED_TOKENS);
        loads.onSent(endpoint, prompt, UNCACHED_TOKENS, nanos());
        return endpoint;
    }

    private static HostAddress address(int index) {
        return new HostAddress("10.0.0.1", FIRST_PORT + index);
    }

    private Host at(HostAddress address) {
        return hosts.get(address.port() - FIRST_PORT);
    }

    private final class Host implements PeerMessageHandler {
        private final EndpointLoads loads = new EndpointLoads();
        private final PeerTable peers;
        private final HostReportFactory reports;
        private final FleetLoads fleet;
        private final ReportRounds rounds;
        private final ReportTargets targets = new ReportTargets(FAN_OUT, random.split());
        private long nextRoundMs;
        private byte[] received;

        Host(int index, int size, int engines) {
            NoOpEventLog log = new NoOpEventLog();
            String name = "host-" + index;
            for (int e = 0; e < engines; e++) {
                loads.onUpdated(
                        new DiscoveredEndpoint("engine-" + e, "s", "10.9.0.1", 80, "zone-1", 16, false, 0, 1, "v1"));
            }
            peers = new PeerTable(name, loads, log, ReportFleet.this);
            for (int i = 0; i < size; i++) {
                peers.onHostListed("host-" + i, address(i));
            }
            peers.onListComplete();
            reports = new HostReportFactory(
                    name, address(index), 1, loads, new CrashSuspects(log), new CrashingParts(log), ReportFleet.this);
            HostRanking ranking = new HostRanking(name, peers::hostNames, ReportFleet.this);
            fleet = new FleetLoads(name, 1, peers, loads, ranking, log, ReportFleet.this);
            rounds = new ReportRounds(peers, reports, fleet, random.split());
            nextRoundMs = nowMs + random.nextInt((int) ReportRounds.INTERVAL_MS);
        }

        void step() {
            if (nowMs < nextRoundMs) {
                return;
            }
            nextRoundMs += ReportRounds.INTERVAL_MS;
            RoundOfReports round = costs.time(ReportCosts.Work.ROUND, this::decide);
            round.reports().forEach(r -> send(r.report(), r.targets()));
            LoadMessages messages = round.loads();
            messages.own().ifPresent(m -> pass(encoded(m), messages.ownTargets()));
            messages.sums().ifPresent(m -> pass(encoded(m), messages.sumTargets()));
        }

        private RoundOfReports decide() {
            if (sums) {
                return rounds.next(StoreNews.NONE);
            }
            peers.refreshPeerLoads();
            List<HostAddress> addresses = peers.addresses();
            HostReport report = reports.next(targets.rounds(addresses.size()), StoreNews.NONE);
            return new RoundOfReports(
                    List.of(new RoundOfReports.Addressed(report, targets.next(addresses))), LoadMessages.NONE);
        }

        private void send(HostReport report, List<HostAddress> to) {
            byte[] content = costs.time(ReportCosts.Work.ENCODE, () -> reportCodec.encode(report));
            for (HostAddress a : to) {
                HostReport arrived = costs.time(ReportCosts.Work.DECODE, () -> reportCodec.decode(content));
                costs.time(ReportCosts.Work.APPLY, () -> at(a).peers.onReport(arrived));
            }
        }

        private byte[] encoded(HostLoad load) {
            return costs.time(ReportCosts.Work.ENCODE, () -> codec.encode(load));
        }

        private byte[] encoded(FleetLoad load) {
            return costs.time(ReportCosts.Work.ENCODE, () -> codec.encode(load));
        }

        private void pass(byte[] content, List<HostAddress> to) {
            for (HostAddress a : to) {
                Host host = at(a);
                host.received = content;
                codec.decode(content, host);
            }
        }

        @Override
        public void onHostLoad(HostLoad load) {
            HostLoad again = costs.time(ReportCosts.Work.DECODE, () -> decodeAgain(HostLoad.class));
            costs.time(ReportCosts.Work.APPLY, () -> {
                fleet.onHostLoad(again);
                return 0;
            });
        }

        @Override
        public void onFleetLoad(FleetLoad load) {
            byte[] content = received;
            FleetLoad again = costs.time(ReportCosts.Work.DECODE, () -> decodeAgain(FleetLoad.class));
            pass(content, costs.time(ReportCosts.Work.APPLY, () -> fleet.onFleetLoad(again)));
        }

        /** Decodes the received message once more, so that decoding is timed without what follows. */
        private <T> T decodeAgain(Class<T> type) {
            DecodedLoads decoded = new DecodedLoads();
            codec.decode(received, decoded);
            return type.cast(decoded.last);
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
