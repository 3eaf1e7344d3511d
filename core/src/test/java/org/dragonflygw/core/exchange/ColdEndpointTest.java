package org.dragonflygw.core.exchange;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The hosts of a fleet together send a cold engine no more than it tolerates in any one second, and make use of what it
 * takes. Load: 10 requests a second for each warm engine of 16 slots, of 1.2 s and with one of 40 shared prompts; engines
 * tolerate 4 requests a second for 10 s after they start.
 */
final class ColdEndpointTest {
    private static final long WINDOW_MS = 1_000;
    private static final int BEFORE_MS = 4_000;
    private static final int COLD = 8;
    private static final double PER_SECOND_AND_ENGINE = 10;
    private static final int SLOTS = 16;
    private static final long WARMUP_MS = LimitedEndpointFleet.WARMUP_MS;

    /** Time within which hosts read a new entry, in milliseconds. */
    private static final long LATE_MS = 2_500;

    private static final int ALLOWED = (int) (LimitedEndpointFleet.WARMUP_PER_SECOND * 1.5 + 5);

    private static double load(int engines) {
        return engines * PER_SECOND_AND_ENGINE;
    }

    private static LimitedEndpointFleet started(int hosts, int engines, long seed) {
        LimitedEndpointFleet fleet = new LimitedEndpointFleet(hosts, engines, SLOTS, seed);
        fleet.run(BEFORE_MS, load(engines));
        return fleet;
    }

    private static void assertKept(LimitedEndpointFleet fleet, int first, int count, long fromMs, long untilMs) {
        for (int e = first; e < first + count; e++) {
            assertWithMessage("engine %s", e)
                    .that(fleet.mostInWindow(e, WINDOW_MS, fromMs, untilMs))
                    .isAtMost(ALLOWED);
        }
    }

    /** Returns the share of what cold engines tolerate that was used in a period. */
    private static double usedShare(LimitedEndpointFleet fleet, int first, int count, long fromMs, long untilMs) {
        long used = 0;
        for (int e = first; e < first + count; e++) {
            used += fleet.arrivals(e, fromMs, untilMs);
        }
        return used * 1_000.0 / (count * LimitedEndpointFleet.WARMUP_PER_SECOND * (untilMs - fromMs));
    }

    @Nested
    final class InCalm {
        /** Guards against hosts that all prefer the engines that have just appeared empty among loaded ones. */
        @ParameterizedTest
        @CsvSource({"1, 6, 1", "2, 6, 2", "6, 13, 3", "65, 40, 4", "128, 40, 5"})
        void engineThatAppearsGetsWhatItTolerates(int hosts, int engines, long seed) {
            LimitedEndpointFleet fleet = started(hosts, engines, seed);
            long start = fleet.nowMs();
            int first = fleet.startCold(COLD, true, LATE_MS);
            fleet.run(WARMUP_MS, load(engines + COLD));
            assertKept(fleet, first, COLD, start, start + WARMUP_MS);
            assertThat(usedShare(fleet, first, COLD, start + LATE_MS, start + WARMUP_MS))
                    .isAtLeast(0.8);
        }

        /** Guards against an engine whose entry does not say that it is cold. */
        @ParameterizedTest
        @CsvSource({"6, 13, 6", "65, 98, 7", "128, 98, 8"})
        void engineThatAppearsIsColdFromItsStart(int hosts, int engines, long seed) {
            LimitedEndpointFleet fleet = started(hosts, engines, seed);
            long start = fleet.nowMs();
            int first = fleet.startCold(COLD, false, LATE_MS);
            fleet.run(WARMUP_MS, load(engines));
            assertKept(fleet, first, COLD, start, start + WARMUP_MS);
        }

        /** Guards against a burst that suits one rate only. */
        @ParameterizedTest
        @CsvSource({"6, 13, 51, 0.5", "6, 13, 52, 15", "65, 40, 53, 0.5", "65, 40, 54, 15", "1, 6, 55, 10"})
        void otherRatesAreKept(int hosts, int engines, long seed, double perSecond) {
            LimitedEndpointFleet fleet = started(hosts, engines, seed).tolerated(perSecond);
            long start = fleet.nowMs();
            int first = fleet.startCold(COLD, true, LATE_MS);
            fleet.run(WARMUP_MS, load(engines + 2 * COLD));
            for (int e = first; e < first + COLD; e++) {
                assertWithMessage("engine %s", e)
                        .that(fleet.mostInWindow(e, WINDOW_MS, start, start + WARMUP_MS))
                        .isAtMost((int) (perSecond * 1.5 + 5));
            }
        }

        @Test
        void anEngineIsWarmSoonAfterItsTime() {
            LimitedEndpointFleet fleet = started(6, 13, 9);
            int first = fleet.startCold(COLD, true, LATE_MS);
            fleet.run(WARMUP_MS + 2 * LATE_MS, load(13));
            long from = fleet.nowMs();
            fleet.run(5_000, 3 * load(13));
            assertThat(fleet.coldCount(0)).isEqualTo(0);
            assertThat(usedShare(fleet, first, COLD, from, fleet.nowMs())).isGreaterThan(1.0);
        }
    }

    @Nested
    final class WhileHostsFail {
        private static final int STEP_MS = 500;

        /** Time after which a restarted host no longer ranks those that it has not heard, in milliseconds. */
        private static final int REPLACED_AFTER_MS = 10_000;

        /** Guards against restarted owners that give out again what they gave out before, and hosts that know nothing. */
        @ParameterizedTest
        @CsvSource({"6, 13, 11, true", "6, 13, 12, false", "65, 98, 13, true", "65, 98, 14, false", "128, 98, 15, true"
        })
        void hostsThatRestartKeepTheLimit(int hosts, int engines, long seed, boolean inEntry) {
            LimitedEndpointFleet fleet = started(hosts, engines, seed);
            long start = fleet.nowMs();
            int first = fleet.startCold(COLD, inEntry, LATE_MS);
            for (int i = 0; fleet.nowMs() < start + WARMUP_MS; i++) {
                fleet.restart(i % hosts);
                fleet.run(STEP_MS, load(engines));
            }
            assertKept(fleet, first, COLD, start, start + WARMUP_MS);
        }

        @ParameterizedTest
        @CsvSource({"6, 13, 16", "65, 98, 17", "128, 98, 18"})
        void hostsThatAllRestartAtOnceKeepTheLimit(int hosts, int engines, long seed) {
            LimitedEndpointFleet fleet = started(hosts, engines, seed);
            long start = fleet.nowMs();
            int first = fleet.startCold(COLD, true, LATE_MS);
            fleet.run(WARMUP_MS / 3, load(engines));
            for (int i = 0; i < hosts; i++) {
                fleet.restart(i);
            }
            fleet.run(WARMUP_MS * 2 / 3, load(engines));
            assertKept(fleet, first, COLD, start, start + WARMUP_MS);
        }

        /** Guards against sides of a cut that each give out the whole rate. */
        @ParameterizedTest
        @CsvSource({
            "6, 13, 21, 1",
            "6, 13, 22, 3",
            "6, 13, 23, 6",
            "65, 98, 24, 20",
            "65, 98, 25, 65",
            "128, 98, 26, 64",
            "128, 98, 27, 128"
        })
        void hostsThatAreCutOffFromAllOthersKeepTheLimit(int hosts, int engines, long seed, int cutOff) {
            LimitedEndpointFleet fleet = started(hosts, engines, seed);
            for (int i = 0; i < cutOff; i++) {
                fleet.cutOff(i, true);
            }
            long start = fleet.nowMs();
            int first = fleet.startCold(COLD, true, LATE_MS);
            fleet.run(WARMUP_MS / 2, load(engines));
            for (int i = 0; i < cutOff; i++) {
                fleet.cutOff(i, false);
            }
            fleet.run(WARMUP_MS / 2, load(engines));
            assertKept(fleet, first, COLD, start, start + WARMUP_MS);
        }

        /** Guards against processes that start on one side of a cut and take the place of owners on the other side. */
        @ParameterizedTest
        @CsvSource({"6, 13, 61, 3, 2", "9, 13, 62, 4, 3", "65, 98, 63, 30, 10", "65, 98, 64, 30, 65"})
        void hostsThatRestartWhileTheNetworkIsCutInTwoKeepTheLimit(
                int hosts, int engines, long seed, int onOneSide, int restarted) {
            LimitedEndpointFleet fleet = started(hosts, engines, seed);
            fleet.cutInTwo(onOneSide);
            for (int i = 0; i < restarted; i++) {
                fleet.restart(i);
            }
            fleet.run(REPLACED_AFTER_MS, load(engines) / 10);
            long start = fleet.nowMs();
            int first = fleet.startCold(COLD, true, LATE_MS);
            fleet.run(WARMUP_MS / 2, load(engines));
            fleet.cutInTwo(0);
            fleet.run(WARMUP_MS / 2, load(engines));
            assertKept(fleet, first, COLD, start, start + WARMUP_MS);
        }

        @ParameterizedTest
        @ValueSource(longs = {28, 29})
        void lostMessagesKeepTheLimit(long seed) {
            LimitedEndpointFleet fleet = new LimitedEndpointFleet(65, 98, SLOTS, seed).messageLoss(0.2);
            fleet.run(BEFORE_MS, load(98));
            long start = fleet.nowMs();
            int first = fleet.startCold(COLD, true, LATE_MS);
            fleet.run(WARMUP_MS, load(98));
            assertKept(fleet, first, COLD, start, start + WARMUP_MS);
        }
    }

    @Nested
    final class ColdAgain {
        private static final int AGAIN_LATE_MS = 1_500;

        /** Guards against hosts that keep sending at the rate of a warm engine although its entry says that it is cold. */
        @ParameterizedTest
        @CsvSource({"6, 13, 31", "65, 98, 32"})
        void anEngineWhoseEntrySaysSoIsLimitedOnceHostsHaveReadIt(int hosts, int engines, long seed) {
            LimitedEndpointFleet fleet = started(hosts, engines, seed);
            long start = fleet.nowMs();
            fleet.makeCold(0, true, AGAIN_LATE_MS);
            fleet.run(WARMUP_MS, 2 * load(engines));
            assertKept(fleet, 0, 1, start + AGAIN_LATE_MS, start + WARMUP_MS);
        }

        /** Guards against what one host hears in a response staying with this host. */
        @ParameterizedTest
        @CsvSource({"6, 13, 33", "65, 98, 34"})
        void anEngineWhoseResponsesSaySoIsLimitedSoon(int hosts, int engines, long seed) {
            LimitedEndpointFleet fleet = started(hosts, engines, seed);
            long start = fleet.nowMs();
            fleet.makeCold(0, false, AGAIN_LATE_MS);
            fleet.run(WARMUP_MS, 2 * load(engines));
            assertKept(fleet, 0, 1, start + LimitedEndpointFleet.CONTACT_MS, start + WARMUP_MS);
        }
    }

    @Nested
    final class WholeService {
        private static final double DEMAND_SHARE = 0.7;

        /** Guards against requests that are refused although some engine still has a permit. */
        @ParameterizedTest
        @CsvSource({"1, 13, 41", "6, 13, 42", "65, 98, 43", "128, 98, 44"})
        void ofColdEnginesServesWhatTheyTolerate(int hosts, int engines, long seed) {
            double demand = DEMAND_SHARE * engines * LimitedEndpointFleet.WARMUP_PER_SECOND;
            LimitedEndpointFleet fleet = started(hosts, engines, seed);
            fleet.makeAllCold(0);
            long start = fleet.nowMs();
            fleet.run(WARMUP_MS, demand);
            assertKept(fleet, 0, engines, start, start + WARMUP_MS);
            double refused = fleet.refusals().size() / (demand * WARMUP_MS / 1_000);
            assertThat(refused).isAtMost(0.02);
        }

        @ParameterizedTest
        @CsvSource({"1, 13, 45", "6, 13, 46", "65, 98, 47", "128, 98, 48"})
        void ofColdEnginesIsUsedUpUnderHighLoad(int hosts, int engines, long seed) {
            LimitedEndpointFleet fleet = started(hosts, engines, seed);
            fleet.makeAllCold(0);
            long start = fleet.nowMs();
            fleet.run(WARMUP_MS, 2 * engines * LimitedEndpointFleet.WARMUP_PER_SECOND);
            assertKept(fleet, 0, engines, start, start + WARMUP_MS);
            assertThat(usedShare(fleet, 0, engines, start + 1_000, start + WARMUP_MS))
                    .isAtLeast(0.9);
        }
    }
}
