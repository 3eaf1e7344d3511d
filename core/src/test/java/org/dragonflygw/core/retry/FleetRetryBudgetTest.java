package org.dragonflygw.core.retry;

import static com.google.common.truth.Truth.assertThat;

import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Tag;

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
    @Tag("known-red")
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
}
