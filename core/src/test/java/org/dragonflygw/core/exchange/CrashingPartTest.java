package org.dragonflygw.core.exchange;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.stream.LongStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * One part of a prompt ends each engine that begins to write an answer on it. Prompts with that part come through any host,
 * no two alike, and share their other parts with sound ones. After five engines have ended and the hosts had time to hear
 * of it, such prompts may reach engines only three times more, and sound ones are still served.
 */
final class CrashingPartTest {
    private static final int HOSTS = 6;
    private static final int ENGINES = 13;
    private static final long RUN_MS = 25_000;
    private static final int SHORT_INTERVAL_MS = 25;
    private static final String SEEDS = "org.dragonflygw.core.exchange.CrashingPartTest#seeds";

    /** Number of late sends that the platform's rule bears. */
    private static final int MAX_LATE_SENDS = 3;

    static LongStream seeds() {
        return LongStream.rangeClosed(1, Integer.getInteger("crashing.part.seeds", 5));
    }

    private static void assertBlocked(CrashingPartFleet fleet) {
        assertWithMessage("late sends; %s engines ended", fleet.ends())
                .that(fleet.lateSends())
                .isAtMost(MAX_LATE_SENDS);
        assertThat(fleet.ends()).isAtLeast(1);
        assertSoundServed(fleet);
    }

    private static void assertSoundServed(CrashingPartFleet fleet) {
        assertWithMessage("blocked sound prompts beside %s served", fleet.completedSound())
                .that(fleet.blockedSound())
                .isEqualTo(0);
    }

    /** Guards against hosts that know requests only as a whole, so that no two of these count together. */
    @Nested
    final class MarkedPart {
        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4, 5})
        void isBlocked(long seed) {
            CrashingPartFleet fleet = new CrashingPartFleet(HOSTS, ENGINES, seed);
            fleet.run(RUN_MS);
            assertBlocked(fleet);
        }

        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4, 5})
        void isBlockedBesideAnother(long seed) {
            CrashingPartFleet fleet = new CrashingPartFleet(HOSTS, ENGINES, seed).marked(2, 500);
            fleet.run(RUN_MS);
            assertWithMessage("ends by two parts").that(fleet.ends()).isAtMost(14);
            assertSoundServed(fleet);
        }

        /** Guards against a sound part that is blocked for the marked one which always stands beside it. */
        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4, 5})
        void isToldFromTheOneBesideIt(long seed) {
            CrashingPartFleet fleet = new CrashingPartFleet(HOSTS, ENGINES, seed).besideOneCompanion();
            fleet.run(RUN_MS);
            assertBlocked(fleet);
        }

        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4, 5})
        void isBlockedThoughItComesRarely(long seed) {
            CrashingPartFleet fleet = new CrashingPartFleet(HOSTS, ENGINES, seed).marked(1, 8_000);
            fleet.run(5 * RUN_MS);
            assertBlocked(fleet);
        }

        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4, 5})
        void isBlockedBesideEndsOfOtherCauses(long seed) {
            CrashingPartFleet fleet = new CrashingPartFleet(HOSTS, ENGINES, seed).enginesEndForOtherCauses();
            fleet.run(2 * RUN_MS);
            assertBlocked(fleet);
        }

        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3})
        void isBlockedThoughEnginesFallSilent(long seed) {
            CrashingPartFleet fleet = new CrashingPartFleet(HOSTS, ENGINES, seed).endsSilently();
            fleet.run(2 * RUN_MS);
            assertBlocked(fleet);
        }

        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4, 5})
        void isBlockedThoughHostsDoNotHearOfEachOther(long seed) {
            CrashingPartFleet fleet = new CrashingPartFleet(HOSTS, ENGINES, seed).reportsLost();
            fleet.run(RUN_MS);
            assertBlocked(fleet);
        }

        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4, 5})
        void isBlockedAfterAllHostsRestart(long seed) {
            CrashingPartFleet fleet = new CrashingPartFleet(HOSTS, ENGINES, seed);
            fleet.run(RUN_MS);
            int before = fleet.ends();
            fleet.restartAllHosts();
            fleet.run(RUN_MS);
            assertThat(fleet.ends()).isEqualTo(before);
            assertBlocked(fleet);
        }

        @ParameterizedTest
        @ValueSource(longs = {1, 2})
        void isBlockedInALargeFleet(long seed) {
            CrashingPartFleet fleet = new CrashingPartFleet(71, 56, seed);
            fleet.run(RUN_MS);
            assertBlocked(fleet);
        }
    }

    /** Guards against ends that count for no part, as nothing was read of the response or the end does not show. */
    @Nested
    final class UnreadResponses {
        private static CrashingPartFleet fleet(long seed) {
            return new CrashingPartFleet(HOSTS, ENGINES, seed)
                    .sound(SHORT_INTERVAL_MS)
                    .marked(1, 500);
        }

        @ParameterizedTest
        @MethodSource(SEEDS)
        void areHeldAgainstTheMarkedPart(long seed) {
            CrashingPartFleet fleet = fleet(seed).endsBeforeHead();
            fleet.run(RUN_MS);
            assertBlocked(fleet);
        }

        @ParameterizedTest
        @MethodSource(SEEDS)
        void areHeldAgainstAMarkedPartThatComesRarely(long seed) {
            CrashingPartFleet fleet = fleet(seed).marked(1, 3_000).endsBeforeHead();
            fleet.run(3 * RUN_MS);
            assertBlocked(fleet);
        }

        @ParameterizedTest
        @MethodSource(SEEDS)
        void areHeldAgainstTheMarkedPartBehindAnAddressThatAccepts(long seed) {
            CrashingPartFleet fleet =
                    fleet(seed).endsBeforeHead().endsSilently().addressAccepts();
            fleet.run(RUN_MS);
            assertBlocked(fleet);
        }

        @ParameterizedTest
        @MethodSource(SEEDS)
        void areHeldAgainstTheMarkedPartIfItBeganBehindAnAddressThatAccepts(long seed) {
            CrashingPartFleet fleet = fleet(seed).endsSilently().addressAccepts();
            fleet.run(RUN_MS);
            assertBlocked(fleet);
        }

        @ParameterizedTest
        @MethodSource(SEEDS)
        void areHeldAgainstTheMarkedPartIfSuccessorsTakeTheAddress(long seed) {
            CrashingPartFleet fleet = fleet(seed).endsBeforeHead().comesBackAtTheSameAddress();
            fleet.run(RUN_MS);
            assertBlocked(fleet);
        }

        @ParameterizedTest
        @MethodSource(SEEDS)
        void areHeldAgainstNoSoundPartThoughEnginesEndByChance(long seed) {
            CrashingPartFleet fleet = fleet(seed).marked(0, 0).soundPromptsEndEngines(33);
            fleet.run(2 * RUN_MS);
            assertSoundServed(fleet);
        }

        @ParameterizedTest
        @MethodSource(SEEDS)
        void areHeldAgainstNoSoundPartThoughEnginesEndOftenByChance(long seed) {
            CrashingPartFleet fleet = fleet(seed).marked(0, 0).soundPromptsEndEngines(20);
            fleet.run(2 * RUN_MS);
            assertSoundServed(fleet);
        }

        @ParameterizedTest
        @MethodSource(SEEDS)
        void areHeldAgainstNoSoundPartThoughAllEnginesEndAtOnce(long seed) {
            CrashingPartFleet fleet = fleet(seed).marked(0, 0).allEnginesEndAtOnce();
            fleet.run(4 * RUN_MS);
            assertSoundServed(fleet);
        }

        @ParameterizedTest
        @MethodSource(SEEDS)
        void areHeldAgainstNoSoundPartThoughAllEnginesFallSilentAtOnce(long seed) {
            CrashingPartFleet fleet = fleet(seed)
                    .marked(0, 0)
                    .allEnginesEndAtOnce()
                    .endsSilently()
                    .addressAccepts();
            fleet.run(4 * RUN_MS);
            assertSoundServed(fleet);
        }
    }

    /** Guards against parts that are blamed for ends with which they have nothing to do. */
    @Nested
    final class SoundParts {
        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4, 5})
        void areServedBesideEndsOfOtherCauses(long seed) {
            CrashingPartFleet fleet =
                    new CrashingPartFleet(HOSTS, ENGINES, seed).marked(0, 0).enginesEndForOtherCauses();
            fleet.run(4 * RUN_MS);
            assertSoundServed(fleet);
        }

        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4, 5})
        void areServedThoughAllEnginesEndAgainAndAgain(long seed) {
            CrashingPartFleet fleet =
                    new CrashingPartFleet(HOSTS, ENGINES, seed).marked(0, 0).allEnginesEndAtOnce();
            fleet.run(4 * RUN_MS);
            assertSoundServed(fleet);
        }

        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4, 5})
        void areServedThoughAnswersBreakOff(long seed) {
            CrashingPartFleet fleet =
                    new CrashingPartFleet(HOSTS, ENGINES, seed).marked(0, 0).answersBreakOff();
            fleet.run(RUN_MS);
            assertSoundServed(fleet);
        }

        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4, 5})
        void areServedThoughAnswersBreakOffAndEnginesEnd(long seed) {
            CrashingPartFleet fleet = new CrashingPartFleet(HOSTS, ENGINES, seed)
                    .marked(0, 0)
                    .answersBreakOff()
                    .enginesEndForOtherCauses();
            fleet.run(2 * RUN_MS);
            assertSoundServed(fleet);
        }
    }
}
