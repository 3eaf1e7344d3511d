package org.dragonflygw.core.exchange;

import java.util.List;
import org.dragonflygw.core.crash.CrashSuspects;
import org.dragonflygw.core.crash.CrashingParts;
import org.dragonflygw.core.dispatch.EndpointLoads;
import org.dragonflygw.core.log.NoOpEventLog;
import org.dragonflygw.core.peers.HostReport;
import org.dragonflygw.core.peers.HostReportFactory;
import org.dragonflygw.core.peers.PeerTable;
import org.dragonflygw.core.peers.ReportTargets;
import org.dragonflygw.core.settings.HostAddress;
import org.dragonflygw.core.storenews.StoreNews;

/** One process of a host in a simulated network, which knows its peers and exchanges reports with them. */
class SimulatedHost {
    private static final int FAN_OUT = 8;
    private static final int PORT = 7_000;

    final String name;
    final EndpointLoads loads = new EndpointLoads();
    final CrashSuspects crashes = new CrashSuspects(new NoOpEventLog());
    final CrashingParts parts = new CrashingParts(new NoOpEventLog());
    final PeerTable peers;
    boolean alive = true;
    boolean cutOff;

    /** Side of a cut through the network on which the host is. */
    int side;

    private final SimulatedNetwork network;
    private final HostReportFactory reports;
    private final ReportTargets targets;

    SimulatedHost(String name, SimulatedNetwork network) {
        this.name = name;
        this.network = network;
        this.peers = new PeerTable(name, loads, new NoOpEventLog(), network.clock);
        this.reports = new HostReportFactory(
                name, new HostAddress(name, PORT), 1 + network.nowMs(), loads, crashes, parts, network.clock);
        this.targets = new ReportTargets(FAN_OUT, network.random.split());
    }

    /** Reads the list of hosts. */
    void learnPeers() {
        network.hosts().forEach(h -> peers.onHostListed(h.name, new HostAddress(h.name, PORT)));
        peers.onListComplete();
    }

    boolean reaches(SimulatedHost other) {
        return alive && other.alive && !cutOff && !other.cutOff && side == other.side;
    }

    void report() {
        if (!alive) {
            return;
        }
        peers.refreshPeerLoads();
        List<HostAddress> addresses = peers.addresses();
        HostReport report = reports.next(targets.rounds(addresses.size()), StoreNews.NONE);
        for (HostAddress target : targets.next(addresses)) {
            SimulatedHost to = network.named(target.ip());
            network.deliver(this, to, () -> to.peers.onReport(report));
        }
    }
}
