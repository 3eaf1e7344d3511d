package org.dragonflygw.core.exchange;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.function.LongFunction;
import org.dragonflygw.core.ratelimit.RateNotice;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The hosts of a fleet together keep to the limits that endpoints name, and use nearly all of them. */
final class EndpointLimitTest {
    private static final int ENGINES = 13;
    private static final int LIMITED = 9;
    private static final int WARM_UP_MS = 3_000;
    private static final int RUN_MS = 20_000;
    private static final double REQUESTS_PER_SECOND = 68;

    /** Rate at which an evenly loaded endpoint without a limit gets more than the limit of the other cases allows. */
    private static final double HIGH_REQUESTS_PER_SECOND = 102;

    private static final double LIMIT = 3.5;

    /** Time within which a request is refused, in milliseconds: a few round trips between hosts. */
    private static final long MAX_REFUSAL_MS = 20;

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
        /**
         * Guards against hosts that keep to a limit each for itself, or not at all, and against shares that are unused where
         * callers are unevenly spread over hosts.
         */
        @ParameterizedTest
        @CsvSource({"1, 1", "2, 2", "6, 3", "6, 4", "6, 5", "95, 6", "401, 7"})
        void allHostsTogetherKeepToTheLimitAndUseNearlyAllOfIt(int hosts, long seed) {
            LimitedEndpointFleet fleet = fleet(hosts, seed);
            fleet.run(WARM_UP_MS + RUN_MS, REQUESTS_PER_SECOND);
            assertKept(fleet, LIMIT, FROM_MS);
            assertThat(usedShare(fleet)).isAtLeast(0.9);
        }

        @Test
        void callersAreServedByTheOtherEngines() {
            LimitedEndpointFleet fleet = fleet(6, 8);
            fleet.run(WARM_UP_MS + RUN_MS, REQUESTS_PER_SECOND);
            assertThat(fleet.refusals()).isEmpty();
        }
    }

    @Nested
    final class WhileHostsChange {
        private static final int HOSTS = 9;
        private static final int STEP_MS = 1_500;
        private static final int REPLACED_AGO_MS = 90_000;
        private static final int LONG_CUT_MS = 100_000;

        private LimitedEndpointFleet started(long seed) {
            LimitedEndpointFleet fleet = fleet(HOSTS, seed);
            fleet.run(FROM_MS, REQUESTS_PER_SECOND);
            return fleet;
        }

        /** Guards against a restarted owner that gives out again what its predecessor gave out. */
        @ParameterizedTest
        @ValueSource(longs = {11, 12, 13})
        void restartsInTurnKeepTheLimit(long seed) {
            LimitedEndpointFleet fleet = started(seed);
            for (int i = 0; i < 2 * HOSTS; i++) {
                fleet.restart(i % HOSTS);
                fleet.run(STEP_MS, REQUESTS_PER_SECOND);
            }
            assertKept(fleet, LIMIT, FROM_MS);
        }

        @ParameterizedTest
        @ValueSource(longs = {14, 15, 16})
        void restartsOfAllHostsAtOnceKeepTheLimitFromThenOn(long seed) {
            LimitedEndpointFleet fleet = started(seed);
            for (int i = 0; i < HOSTS; i++) {
                fleet.restart(i);
            }
            fleet.run(LimitedEndpointFleet.CONTACT_MS, REQUESTS_PER_SECOND);
            long from = fleet.nowMs();
            fleet.run(RUN_MS, REQUESTS_PER_SECOND);
            assertKept(fleet, LIMIT, from);
            assertThat(usedShare(fleet)).isAtLeast(0.9);
        }

        /** Guards against two sides of a cut that each give out the whole limit. */
        @ParameterizedTest
        @CsvSource({"17, 1", "18, 3", "19, 5", "20, 8"})
        void hostsThatAreCutOffFromAllOthersKeepTheLimit(long seed, int cutOff) {
            LimitedEndpointFleet fleet = started(seed);
            for (int i = 0; i < cutOff; i++) {
                fleet.cutOff(i, true);
            }
            fleet.run(RUN_MS / 2, REQUESTS_PER_SECOND);
            for (int i = 0; i < cutOff; i++) {
                fleet.cutOff(i, false);
            }
            fleet.run(RUN_MS / 2, REQUESTS_PER_SECOND);
            assertKept(fleet, LIMIT, FROM_MS);
        }

        /**
         * Guards against owners that lose their place while they are cut off for longer than silent peers are kept, so that
         * both sides of the cut choose their own owners.
         */
        @ParameterizedTest
        @CsvSource({"51, 1", "52, 3", "53, 5"})
        void hostsThatAreCutOffForMoreThanAMinuteKeepTheLimit(long seed, int cutOff) {
            LimitedEndpointFleet fleet = started(seed);
            for (int i = 0; i < cutOff; i++) {
                fleet.cutOff(i, true);
            }
            fleet.run(LONG_CUT_MS, REQUESTS_PER_SECOND);
            for (int i = 0; i < cutOff; i++) {
                fleet.cutOff(i, false);
            }
            fleet.listAgain();
            fleet.run(RUN_MS, REQUESTS_PER_SECOND);
            assertKept(fleet, LIMIT, FROM_MS);
            assertThat(usedShare(fleet)).isAtLeast(0.9);
        }

        @ParameterizedTest
        @ValueSource(longs = {21, 22, 23})
        void hostsThatAreGoneForGoodLeaveMostOfTheLimitUsable(long seed) {
            LimitedEndpointFleet fleet = started(seed);
            fleet.lose(0);
            fleet.lose(1);
            fleet.lose(2);
            fleet.run(RUN_MS, REQUESTS_PER_SECOND);
            assertKept(fleet, LIMIT, FROM_MS);
            assertThat(usedShare(fleet)).isAtLeast(0.75);
        }

        /** Guards against owners that are gone for good, whose names the store still lists. */
        @ParameterizedTest
        @ValueSource(longs = {41, 42, 43})
        void hostsThatWereReplacedLongAgoLeaveNearlyAllOfTheLimitUsable(long seed) {
            LimitedEndpointFleet fleet = new LimitedEndpointFleet(HOSTS, ENGINES, seed);
            for (int i = 0; i < HOSTS; i++) {
                fleet.add();
                fleet.lose(i);
            }
            fleet.run(REPLACED_AGO_MS, 1);
            for (int i = HOSTS; i < 2 * HOSTS; i++) {
                fleet.restart(i);
            }
            fleet.limit(0, LIMITED, t -> RateNotice.limited(LIMIT));
            fleet.run(LimitedEndpointFleet.CONTACT_MS, REQUESTS_PER_SECOND);
            long from = fleet.nowMs();
            fleet.run(RUN_MS, REQUESTS_PER_SECOND);
            assertKept(fleet, LIMIT, from);
            assertThat(usedShare(fleet)).isAtLeast(0.9);
        }

        /** Guards against lists of hosts that differ while hosts join, so that more hosts take themselves for owners. */
        @ParameterizedTest
        @ValueSource(longs = {24, 25, 26})
        void hostsThatJoinKeepTheLimit(long seed) {
            LimitedEndpointFleet fleet = started(seed);
            for (int i = 0; i < HOSTS; i++) {
                fleet.add();
                fleet.run(STEP_MS / 5, REQUESTS_PER_SECOND);
            }
            fleet.run(RUN_MS, REQUESTS_PER_SECOND);
            assertKept(fleet, LIMIT, FROM_MS);
            assertThat(usedShare(fleet)).isAtLeast(0.9);
        }

        @ParameterizedTest
        @ValueSource(longs = {27, 28})
        void lostMessagesKeepTheLimitAndLeaveMostOfItUsable(long seed) {
            LimitedEndpointFleet fleet = fleet(HOSTS, seed).messageLoss(0.1);
            fleet.run(WARM_UP_MS + RUN_MS, REQUESTS_PER_SECOND);
            assertKept(fleet, LIMIT, FROM_MS);
            assertThat(usedShare(fleet)).isAtLeast(0.8);
        }
    }

    @Nested
    final class OfOtherValues {
        private static final int HOSTS = 6;
        private static final int CHANGE_MS = FROM_MS + 6_000;

        private static LimitedEndpointFleet fleet(long seed, LongFunction<RateNotice> noticeAt) {
            return new LimitedEndpointFleet(HOSTS, ENGINES, seed).limit(0, LIMITED, noticeAt);
        }

        @Test
        void aLoweredLimitIsKeptSoon() {
            LimitedEndpointFleet fleet = fleet(31, t -> from(t, WARM_UP_MS, t < CHANGE_MS ? 6 : 2));
            fleet.run(CHANGE_MS + RUN_MS, REQUESTS_PER_SECOND);
            assertKept(fleet, 6, FROM_MS);
            assertKept(fleet, 2, CHANGE_MS + LimitedEndpointFleet.CONTACT_MS);
        }

        @Test
        void aLimitThatDiffersFromResponseToResponseIsKept() {
            LimitedEndpointFleet fleet = fleet(32, t -> from(t, WARM_UP_MS, 3 + t % 7 / 10.0));
            fleet.run(WARM_UP_MS + RUN_MS, REQUESTS_PER_SECOND);
            assertKept(fleet, 3.6, FROM_MS);
        }

        @Test
        void anEndedLimitIsForgottenSoon() {
            LimitedEndpointFleet fleet =
                    fleet(33, t -> t < CHANGE_MS ? from(t, WARM_UP_MS, LIMIT) : RateNotice.UNLIMITED);
            fleet.run(CHANGE_MS + RUN_MS, REQUESTS_PER_SECOND);
            assertThat(fleet.mostInWindow(0, CHANGE_MS)).isGreaterThan(allowed(LIMIT));
        }

        /** Guards against an endpoint that is never asked again, so that no response can end its limit. */
        @ParameterizedTest
        @CsvSource({"34, 0", "35, 0.05"})
        void aTinyLimitIsKeptAndItsEndIsHeard(long seed, double limit) {
            LimitedEndpointFleet fleet =
                    fleet(seed, t -> t < CHANGE_MS ? from(t, WARM_UP_MS, limit) : RateNotice.UNLIMITED);
            fleet.run(CHANGE_MS, REQUESTS_PER_SECOND);
            assertKept(fleet, limit, FROM_MS);
            fleet.run(RUN_MS, HIGH_REQUESTS_PER_SECOND);
            assertThat(fleet.mostInWindow(0, CHANGE_MS)).isGreaterThan(allowed(LIMIT));
        }

        @Test
        void aHugeLimitChangesNothing() {
            LimitedEndpointFleet fleet = fleet(36, t -> from(t, WARM_UP_MS, 1e200));
            fleet.run(WARM_UP_MS + RUN_MS, HIGH_REQUESTS_PER_SECOND);
            assertThat(fleet.mostInWindow(0, FROM_MS)).isGreaterThan(allowed(LIMIT));
            assertThat(fleet.refusals()).isEmpty();
        }

        /** Guards against callers who wait for a limit until their deadline, or come back all at the same time. */
        @Test
        void callersAreRefusedAtOnceWhereAllEndpointsAreLimited() {
            LimitedEndpointFleet fleet =
                    new LimitedEndpointFleet(HOSTS, ENGINES, 37).limit(0, ENGINES, t -> from(t, WARM_UP_MS, 2));
            fleet.run(WARM_UP_MS + RUN_MS, REQUESTS_PER_SECOND);
            assertKept(fleet, 2, FROM_MS);
            assertThat(fleet.refusals().size()).isGreaterThan(100);
            for (LimitedEndpointFleet.Refusal r : fleet.refusals()) {
                assertThat(r.rejection().reason()).isEqualTo(RejectReason.ENDPOINTS_LIMITED);
                assertThat(r.rejection().retryAfterMs()).isAtLeast(100);
                assertThat(r.afterMs()).isAtMost(MAX_REFUSAL_MS);
            }
            long different = fleet.refusals().stream()
                    .map(r -> r.rejection().retryAfterMs() / 100)
                    .distinct()
                    .count();
            assertThat(different).isAtLeast(8);
        }
    }
}
