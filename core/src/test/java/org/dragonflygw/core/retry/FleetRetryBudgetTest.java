package org.dragonflygw.core.retry;

import static com.google.common.truth.Truth.assertThat;

import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** All hosts together keep the retry budget, whatever happens to their processes and to the reports between them. */
final class FleetRetryBudgetTest {
    private static final int HOSTS = 6;
    private static final int REQUESTS_PER_S = 80;
    private static final int START_MS = 1_000;
    private static final int CALM_MS = 15_000;

    /** Retries that the budget allows in one window of this traffic. */
    private static final double MOST_RETRIES = 0.2 * 10 * REQUESTS_PER_S + 52;

    private static SimulatedRetryFleet calmFleet(long seed) {
        SimulatedRetryFleet fleet =
                new SimulatedRetryFleet(HOSTS, REQUESTS_PER_S, START_MS, new SplittableRandom(seed));
        fleet.setListReadable(true);
        fleet.runForMs(CALM_MS);
        return fleet;
    }

    /** Guards against processes that take the whole fixed part of the budget because they know no other host yet. */
    @Property(tries = 20, seed = "20261204")
    void hostsThatHearOfNoOtherHostShareTheFixedPart(@ForAll long seed) {
        SimulatedRetryFleet fleet =
                new SimulatedRetryFleet(HOSTS, REQUESTS_PER_S, START_MS, new SplittableRandom(seed));
        fleet.setReportsLost(true);
        fleet.setFailing(true);
        fleet.runForMs(30_000);
        assertThat(fleet.times().worstExcess()).isAtMost(0);
    }

    /** Guards against hosts that divide the budget by those whose reports arrive, while a fault hides the others. */
    @Property(tries = 20, seed = "20261204")
    void hostsThatListTheOthersButHearNoneShareTheFixedPart(@ForAll long seed) {
        SimulatedRetryFleet fleet = calmFleet(seed);
        fleet.setReportsLost(true);
        fleet.setFailing(true);
        fleet.runForMs(100_000);
        assertThat(fleet.times().worstExcess()).isAtMost(0);
        assertThat(fleet.times().worstExcess()).isAtLeast(-0.35 * MOST_RETRIES);
    }

    /** Guards against restarts that forget the retries of the process before, so that they are granted again. */
    @Property(tries = 20, seed = "20261204")
    void retriesBeforeARestartCount(@ForAll long seed) {
        SimulatedRetryFleet fleet = calmFleet(seed);
        fleet.setFailing(true);
        for (int i = 0; i < 5; i++) {
            fleet.runForMs(3_000);
            fleet.killAll();
        }
        fleet.runForMs(15_000);
        assertThat(fleet.times().worstExcess()).isAtMost(0);
    }

    /** Guards against any mixture of restarts, lost reports, bursts of requests and failures that adds up. */
    @Property(tries = 400, seed = "77")
    void budgetHoldsThroughFaultsInAnyOrder(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        SimulatedRetryFleet fleet = calmFleet(seed);
        for (int i = 0; i < 40; i++) {
            disturb(fleet, random);
            fleet.runForMs(random.nextInt(4_000));
        }
        assertThat(fleet.times().worstExcess()).isAtMost(0);
    }

    private static void disturb(SimulatedRetryFleet fleet, SplittableRandom random) {
        switch (random.nextInt(6)) {
            case 0 -> fleet.killAll();
            case 1 -> fleet.kill(random.nextInt(HOSTS));
            case 2 -> fleet.setReportsLost(random.nextBoolean());
            case 3 -> fleet.setListReadable(random.nextBoolean());
            case 4 -> fleet.setRequestsPerSecond(REQUESTS_PER_S * (1 + random.nextInt(8)));
            default -> fleet.setFailing(random.nextBoolean());
        }
    }

    /** Guards against hosts whose clock stands still while they are suspended, so that old requests still count. */
    @Property(tries = 400, seed = "77")
    void budgetHoldsThroughSuspensions(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        SimulatedRetryFleet fleet = calmFleet(seed);
        for (int i = 0; i < 40; i++) {
            if (random.nextInt(3) == 0) {
                int ms = random.nextInt(6_000);
                for (int host = 0; host < HOSTS; host++) {
                    fleet.suspend(host, ms);
                }
            } else {
                disturb(fleet, random);
            }
            fleet.runForMs(random.nextInt(4_000));
        }
        assertThat(fleet.times().worstExcess()).isAtMost(0);
    }

    /** Guards against requests that count at the host that they left and at the one that they moved to. */
    @Property(tries = 20, seed = "20261205")
    void requestsThatMoveToOtherHostsCountOnce(@ForAll long seed) {
        SimulatedRetryFleet fleet = calmFleet(seed);
        fleet.setReceivers(0, HOSTS / 2);
        fleet.runForMs(CALM_MS);
        fleet.setFailing(true);
        for (int i = 1; i <= 8; i++) {
            fleet.runForMs(5_000);
            fleet.setReceivers(i % 2 * HOSTS / 2, HOSTS / 2);
        }
        assertThat(fleet.times().worstExcess()).isAtMost(0);
    }

    /** Guards against any series of such moves, fast or slow, to one host or several. */
    @Property(tries = 200, seed = "20261205")
    void budgetHoldsWhileRequestsMove(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        SimulatedRetryFleet fleet = calmFleet(seed);
        for (int i = 0; i < 40; i++) {
            if (random.nextInt(3) == 0) {
                disturb(fleet, random);
            } else {
                fleet.setReceivers(random.nextInt(HOSTS), 1 + random.nextInt(HOSTS));
            }
            fleet.runForMs(random.nextInt(6_000));
        }
        assertThat(fleet.times().worstExcess()).isAtMost(0);
    }
}
