package org.dragonflygw.core.peers;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.dragonflygw.core.ManualMonotonicClock;
import org.dragonflygw.core.crash.CrashReport;
import org.dragonflygw.core.crash.CrashSuspects;
import org.dragonflygw.core.crash.CrashingParts;
import org.dragonflygw.core.crash.PartReport;
import org.dragonflygw.core.discovery.DiscoveredEndpoint;
import org.dragonflygw.core.dispatch.EndpointLoads;
import org.dragonflygw.core.dispatch.LeavingEndpoint;
import org.dragonflygw.core.log.NoOpEventLog;
import org.dragonflygw.core.settings.HostAddress;
import org.dragonflygw.core.storenews.StoreNews;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class PeerTableTest {
    private static final HostAddress ADDRESS = new HostAddress("10.0.0.2", 7_000);

    private final ManualMonotonicClock clock = new ManualMonotonicClock();
    private final EndpointLoads loads = new EndpointLoads();
    private final PeerTable peers = new PeerTable("me", loads, new NoOpEventLog(), clock);

    @BeforeEach
    void addEndpoint() {
        loads.onUpdated(new DiscoveredEndpoint("e1", "s", "10.0.0.9", 80, "a", 4, false, 0, 1, "v1"));
    }

    private static HostReport report(String host, long started, long sequence, int inFlight) {
        return report(host, started, sequence, inFlight, 0);
    }

    private static HostReport report(String host, long started, long sequence, int inFlight, double failures) {
        return new HostReport(
                host,
                ADDRESS,
                started,
                sequence,
                List.of(new EndpointUse("e1", inFlight, 100, failures)),
                List.of(),
                CrashReport.NONE,
                PartReport.NONE,
                List.of(),
                List.of(),
                StoreNews.NONE);
    }

    private double load() {
        peers.refreshPeerLoads();
        return loads.get("e1").orElseThrow().load(clock.nanos());
    }

    @Test
    void sumsLoadOfPeers() {
        peers.onReport(report("h1", 1, 1, 3));
        peers.onReport(report("h2", 1, 1, 4));
        assertThat(load()).isEqualTo(7.0);
        assertThat(peers.hostNames()).hasSize(2);
    }

    @Test
    void ignoresOutdatedReportsAndItsOwn() {
        peers.onReport(report("h1", 1, 5, 3));
        peers.onReport(report("h1", 1, 4, 9));
        peers.onReport(report("me", 1, 1, 9));
        assertThat(load()).isEqualTo(3.0);
    }

    @Test
    void acceptsReportsOfARestartedProcess() {
        peers.onReport(report("h1", 1, 50, 3));
        peers.onReport(report("h1", 2, 1, 1));
        assertThat(load()).isEqualTo(1.0);
    }

    /** An engine accepts requests but never responds. One host alone would detect this only one timeout at a time. */
    @Test
    void failureScoreIncludesFailuresSeenByPeers() {
        peers.onReport(report("h1", 1, 1, 1, 0.5));
        peers.onReport(report("h2", 1, 1, 1, 0.3));
        peers.refreshPeerLoads();
        assertThat(loads.get("e1").orElseThrow().failureScore(clock.nanos()))
                .isWithin(1e-9)
                .of(0.4);
        assertThat(loads.get("e1").orElseThrow().ownFailureScore(clock.nanos())).isEqualTo(0.0);
    }

    @Test
    void failureScoreIsTheMeanOverPeers() {
        peers.onReport(report("h0", 1, 1, 1, 1));
        for (int i = 1; i < 10; i++) {
            peers.onReport(report("h" + i, 1, 1, 0, 0));
        }
        peers.refreshPeerLoads();
        assertThat(loads.get("e1").orElseThrow().failureScore(clock.nanos()))
                .isWithin(1e-9)
                .of(0.1);
    }

    @Test
    void failuresSeenByPeersAreNotReportedAsOwn() {
        peers.onReport(report("h1", 1, 1, 0, 2));
        peers.refreshPeerLoads();
        HostReport own = new HostReportFactory(
                        "me",
                        ADDRESS,
                        1,
                        loads,
                        new CrashSuspects(new NoOpEventLog()),
                        new CrashingParts(new NoOpEventLog()),
                        clock)
                .next(1, StoreNews.NONE);
        assertThat(own.uses()).isEmpty();
    }

    @Test
    void silentPeerIsNotCountedButStillReceivesReports() {
        peers.onReport(report("h1", 1, 1, 3));
        clock.advanceMs(3_000);
        assertThat(load()).isEqualTo(0.0);
        assertThat(peers.addresses()).containsExactly(ADDRESS);
    }

    /** Guards against a fleet in which one lost host makes all others write to the store what they tell each other anyway. */
    @Test
    void isNotCutOffWhileFewPeersAreSilent() {
        for (int i = 0; i < 6; i++) {
            peers.onHostListed("h" + i, ADDRESS);
        }
        assertThat(peers.hearsMost()).isFalse();
        for (int i = 0; i < 4; i++) {
            peers.onReport(report("h" + i, 1, 1, 0));
        }
        assertThat(peers.hearsMost()).isTrue();
        clock.advanceMs(3_000);
        peers.onReport(report("h0", 1, 2, 0));
        peers.refreshPeerLoads();
        assertThat(peers.hearsMost()).isFalse();
    }

    @Test
    void fleetSizeIsUnknownUntilTheListOfHostsIsRead() {
        peers.onReport(report("h1", 1, 1, 3));
        assertThat(peers.fleetSize().isPresent()).isFalse();
        peers.onHostListed("me", ADDRESS);
        peers.onHostListed("h2", ADDRESS);
        peers.onListComplete();
        assertThat(peers.fleetSize().getAsInt()).isEqualTo(3);
    }

    /** Guards against a network fault of some minutes that lets each side take the other's share of a limit. */
    @Test
    void silentHostsCountForTheFleetSizeThroughALongOutage() {
        peers.onHostListed("h1", ADDRESS);
        peers.onListComplete();
        clock.advanceMs(3_600_000);
        peers.refreshPeerLoads();
        assertThat(peers.hostNames()).isEmpty();
        assertThat(peers.fleetSize().getAsInt()).isEqualTo(2);
        clock.advanceMs(4_000_000);
        assertThat(peers.fleetSize().getAsInt()).isEqualTo(1);
    }

    /** Guards against hosts that send to an endpoint after it told another host that it is leaving. */
    @Test
    void leaveThatAPeerHeardHoldsForThatInstanceOnly() {
        LeavingEndpoint leave = new LeavingEndpoint("e1", 1, 500);
        peers.onReport(new HostReport(
                "h1",
                ADDRESS,
                1,
                1,
                List.of(),
                List.of(),
                CrashReport.NONE,
                PartReport.NONE,
                List.of(leave),
                List.of(),
                StoreNews.NONE));
        assertThat(loads.get("e1").orElseThrow().isLeaving()).isTrue();
        assertThat(loads.recentLeaves(clock.nanos())).containsExactly(leave);
        loads.onUpdated(new DiscoveredEndpoint("e1", "s", "10.0.0.9", 80, "a", 4, false, 0, 2, "v1"));
        assertThat(loads.get("e1").orElseThrow().isLeaving()).isFalse();
    }
}
