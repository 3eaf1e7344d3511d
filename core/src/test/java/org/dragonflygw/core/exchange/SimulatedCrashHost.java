package org.dragonflygw.core.exchange;

import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.dragonflygw.core.ManualMonotonicClock;
import org.dragonflygw.core.crash.CrashSuspects;
import org.dragonflygw.core.crash.CrashingParts;
import org.dragonflygw.core.crash.StoredCrashes;
import org.dragonflygw.core.crash.StoredSuspects;
import org.dragonflygw.core.discovery.DiscoveredEndpoint;
import org.dragonflygw.core.dispatch.EndpointLoads;
import org.dragonflygw.core.log.NoOpEventLog;
import org.dragonflygw.core.peers.HostReport;
import org.dragonflygw.core.peers.HostReportFactory;
import org.dragonflygw.core.settings.HostAddress;
import org.dragonflygw.core.storenews.StoreNews;

/** One host of a simulated fleet: what it knows of crashes, tells its peers and keeps in the store. */
class SimulatedCrashHost {
    private static final int FAN_OUT = 8;
    private static final int STORE_READ_MS = 1_000;
    private static final long NANOS_PER_MS = 1_000_000;

    final EndpointLoads loads = new EndpointLoads();
    final CrashSuspects crashes = new CrashSuspects(new NoOpEventLog());
    final ExchangeContext context;

    private final String name;
    private final ManualMonotonicClock clock;
    private final CrashingParts crashingParts = new CrashingParts(new NoOpEventLog());
    private final StoredSuspects stored;
    private final HostReportFactory reports;
    private int nextTarget;
    private long storeReadMs = -1;

    /** Row of a host in the simulated store. */
    record StoredRow(StoredCrashes content, long writtenMs) {}

    SimulatedCrashHost(
            String name,
            List<DiscoveredEndpoint> endpoints,
            BooleanSupplier hearsMostPeers,
            EndpointProbe probe,
            ManualMonotonicClock clock) {
        this.name = name;
        this.clock = clock;
        this.stored = new StoredSuspects(name, crashes, crashingParts, hearsMostPeers, clock);
        this.reports = new HostReportFactory(
                name, new HostAddress("10.0.0.2", 7_000), 1, loads, crashes, crashingParts, clock);
        endpoints.forEach(loads::onUpdated);
        this.context = ExchangeFixture.context(loads, crashes, crashingParts, probe, clock);
    }

    void onAddressTaken(DiscoveredEndpoint endpoint) {
        crashingParts.onAddressTaken(endpoint.instanceKey(), clock.nanos());
    }

    void onRemoved(DiscoveredEndpoint endpoint) {
        loads.onRemoved(endpoint);
        crashes.onEndpointEnded(endpoint.instanceKey(), clock.nanos());
        crashingParts.onEndpointEnded(endpoint.instanceKey(), clock.nanos());
    }

    /**
     * Sends a report to some of the hosts in turn.
     *
     * @param hosts all hosts, this one included
     * @param lost whether the next message is lost
     */
    void report(List<? extends SimulatedCrashHost> hosts, BooleanSupplier lost) {
        int others = hosts.size() - 1;
        HostReport report = reports.next((others + FAN_OUT - 1) / FAN_OUT, StoreNews.NONE);
        for (int i = 0; i < Math.min(FAN_OUT, others); i++) {
            SimulatedCrashHost target = hosts.get(nextTarget++ % hosts.size());
            if (target == this) {
                target = hosts.get(nextTarget++ % hosts.size());
            }
            if (!lost.getAsBoolean()) {
                target.receive(report);
            }
        }
    }

    private void receive(HostReport report) {
        crashes.accept(report.crashes(), clock.nanos());
        crashingParts.accept(report.parts(), clock.nanos());
    }

    /** Reads the rows that changed, once a second, and writes this host's row where it has to. */
    void useStore(Map<String, StoredRow> store) {
        long nowMs = clock.nanos() / NANOS_PER_MS;
        if (nowMs - storeReadMs >= STORE_READ_MS || storeReadMs < 0) {
            store.forEach((owner, row) -> {
                if (row.writtenMs >= storeReadMs) {
                    stored.onRow(owner, row.content, nowMs - row.writtenMs);
                }
            });
            stored.onRowsRead();
            storeReadMs = nowMs;
        }
        stored.toWrite().ifPresent(content -> {
            store.put(name, new StoredRow(content, nowMs));
            stored.onWritten(content);
        });
    }

    @Override
    public String toString() {
        return name;
    }
}
