package org.dragonflygw.wire.peers;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against loads that count twice, are left out or outlive their host while hosts and the network fail. The loads
 * stand still, so that each host must know them exactly.
 */
final class LoadSumCorrectnessTest {
    private static final int ENGINES = 98;
    private static final int REQUESTS = 4;

    /** Time within which the first sums reach all hosts. */
    private static final int SETTLE_MS = 4_000;

    /** Time within which the load of a host that died is gone: expiry at the relay, two intervals and the way. */
    private static final int DEATH_MS = 3_500;

    /** Time within which hosts return to the relay that all would choose. */
    private static final int REJOIN_MS = 16_000;

    private static SimulatedReportFleet fleet(int hosts) {
        SimulatedReportFleet fleet = new SimulatedReportFleet(hosts, ENGINES, hosts);
        fleet.network.hosts.forEach(h -> fleet.addLoad(h, REQUESTS));
        return fleet;
    }

    private static SimulatedReportFleet settled(int hosts) {
        SimulatedReportFleet fleet = fleet(hosts);
        fleet.listAll(true);
        fleet.network.run(SETTLE_MS, () -> {});
        assertRight(fleet);
        return fleet;
    }

    private static void assertRight(SimulatedReportFleet fleet) {
        for (SimulatedReportHost h : fleet.network.hosts) {
            if (h.alive) {
                assertWithMessage("engines whose load host %s does not know", h.index)
                        .that(fleet.wrong(h))
                        .isEqualTo(0);
            }
        }
    }

    /** Runs a fleet whose loads stand still; no host may take the load of an engine for higher than it is. */
    private static void runWithoutExcess(SimulatedReportFleet fleet, int ms) {
        for (int t = 0; t < ms; t += 200) {
            fleet.network.run(200, () -> {});
            for (int e = 0; e < ENGINES; e++) {
                int sent = fleet.inFlight(e, 0);
                for (SimulatedReportHost h : fleet.network.hosts) {
                    assertWithMessage("load of engine %s at host %s", e, h.index)
                            .that(fleet.known(h, e))
                            .isAtMost(sent);
                }
            }
        }
    }

    private static SimulatedReportHost relay(SimulatedReportFleet fleet) {
        List<SimulatedReportHost> acting = fleet.network.hosts.stream()
                .filter(h -> h.alive && h.fleet.isActing())
                .toList();
        assertWithMessage("relays").that(acting).hasSize(1);
        return acting.get(0);
    }

    private static void kill(SimulatedReportHost host) {
        host.alive = false;
    }

    @ParameterizedTest
    @ValueSource(ints = {6, 18, 65, 128, 401})
    void eachHostKnowsTheLoadOfAllOthers(int hosts) {
        SimulatedReportFleet fleet = settled(hosts);
        fleet.network.run(1_000, () -> {});
        assertRight(fleet);
    }

    @Test
    void lostRepeatedAndReorderedMessagesCountOnce() {
        SimulatedReportFleet fleet = fleet(65);
        fleet.network.lossRate = 0.05;
        fleet.network.repeatRate = 0.2;
        fleet.network.maxDelayMs = 700;
        fleet.listAll(true);
        runWithoutExcess(fleet, 8_000);
        fleet.network.lossRate = 0;
        fleet.network.run(2_000, () -> {});
        assertRight(fleet);
    }

    @Test
    void fleetOfUnknownSizeCountsOnce() {
        SimulatedReportFleet fleet = fleet(65);
        fleet.listAll(false);
        runWithoutExcess(fleet, SETTLE_MS);
        assertRight(fleet);
    }

    /** A host that starts during an outage of the store knows only the hosts that it hears. */
    @Test
    void hostsThatLearnOfTheOthersOneByOneCountOnce() {
        SimulatedReportFleet fleet = fleet(65);
        fleet.network.hosts.forEach(h -> h.list(h.index < 20 ? 5 : 65, h.index >= 20));
        runWithoutExcess(fleet, SETTLE_MS);
        fleet.network.run(REJOIN_MS, () -> {});
        assertRight(fleet);
    }

    /** Guards against loads that are missing or count twice while a new version is rolled out. */
    @Test
    void hostsOfAnEarlierVersionTellAndHearLoadsDirectly() {
        SimulatedReportFleet fleet = fleet(65);
        for (int i = 0; i < 65; i += 2) {
            fleet.host(i).earlierVersion = true;
        }
        fleet.listAll(true);
        runWithoutExcess(fleet, SETTLE_MS);
        assertRight(fleet);
    }

    /**
     * Guards against a new host that the others know only once they read the list of hosts again, since it sends few direct
     * reports: they would choose other owners of limits than it does.
     */
    @Test
    void hostThatIsAddedIsKnownToAllAfterOneDirectReportEach() {
        SimulatedReportFleet fleet = fleet(66);
        SimulatedReportHost added = fleet.host(65);
        kill(added);
        fleet.network.hosts.forEach(h -> h.list(65, true));
        fleet.network.run(SETTLE_MS, () -> {});
        added.start();
        fleet.addEngines(added);
        added.list(65, true);
        fleet.network.run(2_500, () -> {});
        for (int i = 0; i < 65; i++) {
            assertWithMessage("peers of host %s", i)
                    .that(fleet.host(i).peers.hostNames())
                    .contains("host-65");
        }
        fleet.network.run(SETTLE_MS, () -> {});
        assertRight(fleet);
    }

    /** Hosts whose lists differ choose different relays at first. */
    @Test
    void relaysThatActAtOnceDoNotAddUp() {
        SimulatedReportFleet fleet = fleet(80);
        for (SimulatedReportHost h : fleet.network.hosts) {
            h.list(h.index % 2 == 0 ? 30 : 80, true);
        }
        runWithoutExcess(fleet, SETTLE_MS);
        fleet.network.run(REJOIN_MS, () -> {});
        assertRight(fleet);
        relay(fleet);
    }

    /** Rows of hosts that are gone stay in the list, and most candidates for the relay may be among them. */
    @Test
    void hostsThatAreGoneForGoodDoNotKeepTheSumsAway() {
        SimulatedReportFleet fleet = fleet(128);
        for (int i = 0; i < 128; i += 2) {
            kill(fleet.host(i));
        }
        fleet.listAll(true);
        fleet.network.run(SETTLE_MS + REJOIN_MS, () -> {});
        assertRight(fleet);
        assertWithMessage("hosts in sums")
                .that(fleet.host(1).fleet.includedHosts())
                .isEqualTo(64);
    }

    @Nested
    final class Failures {
        private final SimulatedReportFleet fleet = settled(65);

        @Test
        void loadOfADeadHostIsGoneWithinSeconds() {
            SimulatedReportHost relay = relay(fleet);
            for (int i = 0; i < 5; i++) {
                SimulatedReportHost h = fleet.host(10 + i);
                h.alive = h == relay;
            }
            fleet.network.run(DEATH_MS, () -> {});
            assertRight(fleet);
        }

        @Test
        void loadOfARestartedHostReplacesTheEarlierOne() {
            SimulatedReportHost h = fleet.host(7);
            kill(h);
            fleet.network.run(400, () -> {});
            h.start();
            fleet.addEngines(h);
            fleet.addLoad(h, 2 * REQUESTS);
            h.list(65, true);
            fleet.network.run(SETTLE_MS, () -> {});
            assertRight(fleet);
        }

        @Test
        void standByReplacesADeadRelay() {
            kill(relay(fleet));
            fleet.network.run(DEATH_MS + 500, () -> {});
            assertRight(fleet);
            assertWithMessage("hosts in sums")
                    .that(fleet.host(0).alive ? fleet.host(0).fleet.includedHosts() : 64)
                    .isEqualTo(64);
        }

        @Test
        void restartedRelayTakesOverAgain() {
            SimulatedReportHost first = relay(fleet);
            kill(first);
            fleet.network.run(5_000, () -> {});
            SimulatedReportHost second = relay(fleet);
            first.start();
            fleet.addEngines(first);
            fleet.addLoad(first, REQUESTS);
            first.list(65, true);
            fleet.network.run(REJOIN_MS, () -> {});
            assertRight(fleet);
            assertWithMessage("relay").that(relay(fleet)).isEqualTo(first);
            assertWithMessage("stand-by").that(second.alive).isTrue();
        }

        @Test
        void pausedRelayIsReplacedAndReturns() {
            SimulatedReportHost first = relay(fleet);
            first.frozen = true;
            fleet.network.run(3_000, () -> {});
            first.frozen = false;
            fleet.network.run(REJOIN_MS, () -> {});
            assertRight(fleet);
            assertWithMessage("relay").that(relay(fleet)).isEqualTo(first);
        }

        @Test
        void lossOfRelayAndStandByIsSurvived() {
            SimulatedReportHost first = relay(fleet);
            kill(first);
            fleet.network.run(5_000, () -> {});
            SimulatedReportHost second = relay(fleet);
            first.start();
            fleet.addEngines(first);
            first.list(65, true);
            fleet.network.run(REJOIN_MS, () -> {});
            kill(first);
            kill(second);
            fleet.network.run(8_000, () -> {});
            assertRight(fleet);
            relay(fleet);
        }

        @Test
        void lossOfHalfOfTheHostsIsSurvived() {
            for (int i = 0; i < 65; i += 2) {
                kill(fleet.host(i));
            }
            fleet.network.run(8_000, () -> {});
            assertRight(fleet);
        }

        @Test
        void relayThatIsCutOffIsReplacedAndReturns() {
            SimulatedReportHost first = relay(fleet);
            first.side = 1;
            fleet.network.run(6_000, () -> {});
            assertRight(fleet);
            first.side = 0;
            fleet.network.run(REJOIN_MS, () -> {});
            assertRight(fleet);
            assertWithMessage("relay").that(relay(fleet)).isEqualTo(first);
        }

        @Test
        void partsOfAFleetThatIsCutInTwoKnowTheirOwnLoadAndJoinAgain() {
            for (int i = 0; i < 25; i++) {
                fleet.host(i).side = 1;
            }
            fleet.network.run(8_000, () -> {});
            assertRight(fleet);
            fleet.network.hosts.forEach(h -> h.side = 0);
            fleet.network.run(REJOIN_MS, () -> {});
            assertRight(fleet);
            relay(fleet);
        }

        /** Guards against owners of limits that are taken for lost while only the way of the loads changes. */
        @Test
        void hostsCountAsUpWhileTheRelayChanges() {
            SimulatedReportHost first = relay(fleet);
            kill(first);
            for (int t = 0; t < 10_000; t += 200) {
                fleet.network.run(200, () -> {});
                for (SimulatedReportHost h : fleet.network.hosts) {
                    for (SimulatedReportHost o : fleet.network.hosts) {
                        if (h.alive && o.alive && h != o) {
                            assertWithMessage("%s by %s", o.index, h.index)
                                    .that(h.peers.mayBeUp("host-" + o.index))
                                    .isTrue();
                        }
                    }
                }
            }
        }
    }
}
