package org.dragonflygw.core.exchange;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import org.dragonflygw.core.ratelimit.RateNotice;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The hosts of a fleet together keep to the limits that endpoints name, and use nearly all of them. */
final class EndpointLimitTest {
    private static final int ENGINES = 13;
    private static final int LIMITED = 9;
    private static final int WARM_UP_MS = 3_000;
    private static final int RUN_MS = 20_000;
    private static final double REQUESTS_PER_SECOND = 68;
    private static final double LIMIT = 3.5;

    /** Time after which hosts keep to a limit, and from which arrivals are counted, in milliseconds. */
    private static final int FROM_MS = WARM_UP_MS + LimitedEndpointFleet.CONTACT_MS;

    private static int allowed(double limit) {
        return (int) (1.5 * limit * LimitedEndpointFleet.WINDOW_MS / 1_000 + 5);
    }

    private static RateNotice from(long nowMs, long fromMs, double limit) {
        return nowMs < fromMs ? RateNotice.UNLIMITED : RateNotice.limited(limit);
    }

    private static LimitedEndpointFleet fleet(int hosts, long seed) {
        return new LimitedEndpointFleet(hosts, ENGINES, seed).limit(0, LIMITED, t -> from(t, WARM_UP_MS, LIMIT));
    }

    private static void assertKept(LimitedEndpointFleet fleet, double limit, long fromMs) {
        for (int e = 0; e < LIMITED; e++) {
            assertWithMessage("engine %s", e)
                    .that(fleet.mostInWindow(e, fromMs))
                    .isAtMost(allowed(limit));
        }
    }

    /** Returns the share of the limits that was used in the second half of a run. */
    private static double usedShare(LimitedEndpointFleet fleet) {
        long from = fleet.nowMs() - RUN_MS / 2;
        long used = 0;
        for (int e = 0; e < LIMITED; e++) {
            used += fleet.arrivals(e, from, fleet.nowMs());
        }
        return used / (LIMITED * LIMIT * RUN_MS / 2_000);
    }

    @Nested
    final class InCalm {
        /** Guards against hosts that keep to a limit each for itself, or not at all. */
        @ParameterizedTest
        @CsvSource({"1, 1", "2, 2", "6, 3", "6, 4", "6, 5", "95, 6", "401, 7"})
        void allHostsTogetherKeepToTheLimit(int hosts, long seed) {
            LimitedEndpointFleet fleet = fleet(hosts, seed);
            fleet.run(WARM_UP_MS + RUN_MS, REQUESTS_PER_SECOND);
            assertKept(fleet, LIMIT, FROM_MS);
        }

        /** Guards against shares that are unused where callers are unevenly spread over hosts. */
        @ParameterizedTest
        @CsvSource({"1, 1", "2, 2", "6, 3", "6, 4", "95, 6", "401, 7"})
        void nearlyAllOfTheLimitIsUsed(int hosts, long seed) {
            LimitedEndpointFleet fleet = fleet(hosts, seed);
            fleet.run(WARM_UP_MS + RUN_MS, REQUESTS_PER_SECOND);
            assertThat(usedShare(fleet)).isAtLeast(0.9);
        }

        @Test
        void callersAreServedByTheOtherEngines() {
            LimitedEndpointFleet fleet = fleet(6, 8);
            fleet.run(WARM_UP_MS + RUN_MS, REQUESTS_PER_SECOND);
            assertThat(fleet.refusals()).isEmpty();
        }
    }
}
