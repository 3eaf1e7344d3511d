package org.dragonflygw.core.exchange;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** A stream goes on only at the software version that began it, and mostly does go on. */
final class StreamVersionTest {
    private static final int WARM_UP_MS = 3_000;
    private static final int STEP_MS = 2_000;
    private static final int ROUNDS = 5;

    /** Time after which a host knows all versions that a stream can have begun at, in milliseconds. */
    private static final int MEMORY_MS = 61_000;

    private static final double STREAMS_PER_SECOND = 60;

    /** Streams that may join versions by the users' rule, over a whole day; here none may. */
    private static final int JOINED = 0;

    private static VersionedStreamFleet started(int hosts, long seed) {
        VersionedStreamFleet fleet = new VersionedStreamFleet(hosts, 6, 7, seed);
        fleet.run(WARM_UP_MS, STREAMS_PER_SECOND);
        return fleet;
    }

    private static void assertOneVersionEach(VersionedStreamFleet fleet) {
        assertThat(fleet.joined()).isEqualTo(JOINED);
        assertThat(fleet.wrongEvents()).isEqualTo(0);
    }

    @Nested
    final class AtOneHost {
        /** Guards against a response that goes on at another version when its engine has ended. */
        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3})
        void aBrokenResponseGoesOnAtItsVersion(long seed) {
            VersionedStreamFleet fleet = started(6, seed);
            for (int i = 0; i < ROUNDS; i++) {
                fleet.crashEngines(i, i + 3);
                fleet.run(STEP_MS, STREAMS_PER_SECOND);
            }
            assertOneVersionEach(fleet);
        }
    }

    /** Guards against streams that hosts cut while their engine is silent and nobody else can go on with them. */
    @Nested
    final class AtEnginesThatFallSilent {
        private static final long SILENCE_MS = 1_400;

        private void assertNoneCut(VersionedStreamFleet fleet) {
            assertOneVersionEach(fleet);
            assertThat(fleet.cutStreams()).isEqualTo(0);
        }

        @ParameterizedTest
        @CsvSource({"1, 0", "1, 6", "2, 6", "7, 6"})
        void noneIsCut(int firstVersionEngines, int secondVersionEngines) {
            VersionedStreamFleet fleet = new VersionedStreamFleet(6, firstVersionEngines, secondVersionEngines, 30);
            fleet.run(WARM_UP_MS, STREAMS_PER_SECOND);
            for (int i = 0; i < ROUNDS; i++) {
                fleet.silenceEngines(0, 1, SILENCE_MS);
                fleet.run(STEP_MS, STREAMS_PER_SECOND);
            }
            assertNoneCut(fleet);
        }

        @ParameterizedTest
        @ValueSource(longs = {31, 32, 33})
        void noneIsCutWhileAllOthersOfTheirVersionTurnRequestsAway(long seed) {
            VersionedStreamFleet fleet = started(6, seed);
            for (int i = 0; i < ROUNDS; i++) {
                fleet.silenceEngines(i, i + 1, SILENCE_MS);
                fleet.fillEngines(0, 6, SILENCE_MS);
                fleet.run(STEP_MS, STREAMS_PER_SECOND);
            }
            assertNoneCut(fleet);
        }

        @ParameterizedTest
        @ValueSource(longs = {34, 35, 36})
        void noneIsCutWhileAllAreSilent(long seed) {
            VersionedStreamFleet fleet = started(6, seed);
            for (int i = 0; i < ROUNDS; i++) {
                fleet.silenceEngines(0, 13, SILENCE_MS);
                fleet.run(STEP_MS, STREAMS_PER_SECOND);
            }
            assertNoneCut(fleet);
        }
    }

    @Nested
    final class AtAnotherHost {
        /** Guards against callers who come back at a host that does not know where their stream began. */
        @ParameterizedTest
        @CsvSource({"2, 4", "6, 5", "6, 6", "95, 7", "401, 8"})
        void aStreamThatIsTakenUpGoesOnAtItsVersion(int hosts, long seed) {
            VersionedStreamFleet fleet = started(hosts, seed);
            for (int i = 0; i < ROUNDS; i++) {
                fleet.resetConnections(0, hosts / 2);
                fleet.run(STEP_MS, STREAMS_PER_SECOND);
            }
            assertOneVersionEach(fleet);
            assertThat(fleet.resumes()).isAtLeast(100);
            assertThat(fleet.shareThatWentOn()).isAtLeast(0.95);
        }

        /** Guards against knowledge that dies with the host that began the stream. */
        @ParameterizedTest
        @CsvSource({"6, 2, 9", "6, 3, 10", "95, 40, 11"})
        void aStreamOfAKilledHostGoesOnAtItsVersion(int hosts, int killed, long seed) {
            VersionedStreamFleet fleet = started(hosts, seed);
            for (int i = 0; i < ROUNDS; i++) {
                fleet.restart(0, killed);
                fleet.run(STEP_MS, STREAMS_PER_SECOND);
            }
            assertOneVersionEach(fleet);
            assertThat(fleet.resumes()).isAtLeast(100);
            assertThat(fleet.shareThatWentOn()).isAtLeast(0.9);
        }
    }

    @Nested
    final class WhileHostsAndEnginesChange {
        /** Guards against a host that hears no other and guesses. */
        @ParameterizedTest
        @CsvSource({"6, 1, 12", "6, 3, 13", "95, 40, 14"})
        void hostsThatAreCutOffRefuseWhatTheyDoNotKnow(int hosts, int cutOff, long seed) {
            VersionedStreamFleet fleet = started(hosts, seed);
            for (int i = 0; i < ROUNDS; i++) {
                fleet.cutOff(0, cutOff, i % 2 == 0);
                fleet.resetConnections(0, hosts / 2);
                fleet.run(STEP_MS, STREAMS_PER_SECOND);
            }
            assertOneVersionEach(fleet);
            assertThat(fleet.refusedResumes()).isGreaterThan(0);
        }

        @ParameterizedTest
        @ValueSource(longs = {15, 16})
        void lostMessagesJoinNoVersions(long seed) {
            VersionedStreamFleet fleet = started(6, seed).messageLoss(0.2);
            for (int i = 0; i < ROUNDS; i++) {
                fleet.resetConnections(0, 3);
                fleet.run(STEP_MS, STREAMS_PER_SECOND);
            }
            assertOneVersionEach(fleet);
            assertThat(fleet.shareThatWentOn()).isAtLeast(0.9);
        }

        /** Guards against processes that know nothing of the past and take the versions of the present for all there were. */
        @ParameterizedTest
        @ValueSource(longs = {17, 18})
        void allHostsThatStartAgainAtOnceAsTheFirstVersionEndsJoinNone(long seed) {
            VersionedStreamFleet fleet = started(6, seed);
            fleet.removeEngines(0, 6);
            fleet.restart(0, 6);
            fleet.run(STEP_MS, STREAMS_PER_SECOND);
            assertOneVersionEach(fleet);
        }

        @ParameterizedTest
        @ValueSource(longs = {19, 20})
        void streamsOfAVersionThatIsGoneAreNotContinued(long seed) {
            VersionedStreamFleet fleet = started(6, seed);
            fleet.removeEngines(0, 6);
            fleet.run(STEP_MS, STREAMS_PER_SECOND);
            fleet.resetConnections(0, 6);
            fleet.run(STEP_MS, STREAMS_PER_SECOND);
            assertOneVersionEach(fleet);
        }

        /** Guards against a loss of streams where there is nothing to mix up, after all records were lost. */
        @ParameterizedTest
        @ValueSource(longs = {21, 22})
        void streamsOfAServiceWithOneVersionGoOnWithoutRecords(long seed) {
            VersionedStreamFleet fleet = new VersionedStreamFleet(6, 13, 0, seed);
            fleet.run(MEMORY_MS, 1);
            fleet.run(WARM_UP_MS, STREAMS_PER_SECOND);
            fleet.cutOff(0, 6, true);
            fleet.resetConnections(0, 6);
            fleet.run(STEP_MS, STREAMS_PER_SECOND);
            assertThat(fleet.resumes()).isAtLeast(50);
            assertThat(fleet.shareThatWentOn()).isAtLeast(0.95);
        }
    }
}
