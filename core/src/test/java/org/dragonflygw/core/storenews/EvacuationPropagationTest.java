package org.dragonflygw.core.storenews;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import org.dragonflygw.core.storenews.EvacuationFleet.Host;
import org.dragonflygw.core.storenews.EvacuationFleet.StoreLink;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The time from the store's acknowledgement of an evacuation until no host sends to the zone any more. */
final class EvacuationPropagationTest {
    /** Bound of the deployments is 5,000 ms; the rest is for opening connections and for pauses of a process. */
    private static final int MAX_MS = 3_500;

    private static final int DISTURBED_MS = 6_000;
    private static final double MANY_LATE = 0.1;

    private static void check(EvacuationFleet fleet, boolean evacuated, String what) {
        int took = fleet.msUntilAllSee(evacuated, 6_000);
        assertWithMessage(what).that(took).isAtMost(MAX_MS);
    }

    @Nested
    final class AllHosts {
        @ParameterizedTest
        @CsvSource({"6, 1", "6, 2", "65, 3", "65, 4", "128, 5", "401, 6"})
        void stopSendingInTimeAndServeAgain(int count, long seed) {
            EvacuationFleet fleet = new EvacuationFleet(count, seed);
            fleet.evacuate();
            check(fleet, true, "evacuation");
            fleet.endEvacuation();
            check(fleet, false, "end of the evacuation");
        }

        /** Guards against readers that are lost in the moment of the evacuation: the others must notice and read. */
        @ParameterizedTest
        @CsvSource({"6, 11", "6, 12", "65, 13", "65, 14", "128, 15", "401, 16"})
        void stopSendingInTimeWithoutTheirReaders(int count, long seed) {
            EvacuationFleet fleet = new EvacuationFleet(count, seed);
            for (Host h : fleet.readers()) {
                h.link = StoreLink.SILENT;
                h.silent = true;
            }
            fleet.run(fleet.random.nextInt(300));
            fleet.evacuate();
            check(fleet, true, "evacuation");
            fleet.endEvacuation();
            check(fleet, false, "end of the evacuation");
        }

        /** Guards against readers that lose the store only, and go on to report that nothing has changed. */
        @ParameterizedTest
        @CsvSource({"6, 21", "65, 22", "128, 23", "401, 24"})
        void stopSendingInTimeWhenTheirReadersLoseTheStore(int count, long seed) {
            EvacuationFleet fleet = new EvacuationFleet(count, seed);
            fleet.readers().forEach(h -> h.link = StoreLink.SILENT);
            fleet.run(fleet.random.nextInt(300));
            fleet.evacuate();
            check(fleet, true, "evacuation");
        }

        /** Guards against hosts that the store turns away: they must learn it from the others. */
        @ParameterizedTest
        @CsvSource({"6, 31, 0.5", "65, 32, 0.5", "128, 33, 0.9", "401, 34, 0.9"})
        void stopSendingInTimeWhenTheStoreRefusesMany(int count, long seed, double share) {
            EvacuationFleet fleet = new EvacuationFleet(count, seed);
            for (Host h : fleet.hosts) {
                h.link = h != fleet.hosts.get(0) && fleet.random.nextDouble() < share
                        ? StoreLink.REFUSED
                        : StoreLink.GOOD;
            }
            fleet.evacuate();
            check(fleet, true, "evacuation");
            fleet.run(DISTURBED_MS);
            fleet.endEvacuation();
            check(fleet, false, "end of the evacuation");
        }
    }

    @Nested
    final class Hosts {
        /** Guards against a host that serves before it knows of the evacuation. */
        @ParameterizedTest
        @CsvSource({"6, 41", "65, 42", "128, 43"})
        void thatStartDuringAnEvacuationKnowItBeforeTheyServe(int count, long seed) {
            EvacuationFleet fleet = new EvacuationFleet(count, seed);
            fleet.evacuate();
            for (int i = 0; i < 5; i++) {
                fleet.run(fleet.random.nextInt(600));
                Host started = fleet.addHost();
                for (int j = 0; j < 50; j++) {
                    fleet.run(10);
                    assertThat(started.sees() || !started.isListed()).isTrue();
                }
                assertThat(started.isListed()).isTrue();
            }
        }

        /** Guards against late and reordered news that end an evacuation or bring it back. */
        @ParameterizedTest
        @CsvSource({"6, 51", "6, 52", "65, 53", "128, 54", "401, 55"})
        void keepTheLatestStateWhenChangesFollowQuickly(int count, long seed) {
            EvacuationFleet fleet = new EvacuationFleet(count, seed);
            fleet.late = MANY_LATE;
            for (int i = 0; i < 4; i++) {
                boolean evacuated = fleet.random.nextBoolean();
                for (int j = 0; j < 3; j++) {
                    if (evacuated ^ j == 1) {
                        fleet.evacuate();
                    } else {
                        fleet.endEvacuation();
                    }
                    fleet.run(fleet.random.nextInt(250));
                }
                check(fleet, evacuated, "last change");
                for (int j = 0; j < 20; j++) {
                    fleet.run(100);
                    assertWithMessage("state afterwards")
                            .that(fleet.allSee(evacuated))
                            .isTrue();
                }
            }
        }

        /** Guards against versions that the store gives out again after it came back from a copy. */
        @ParameterizedTest
        @CsvSource({"6, 61", "65, 62", "128, 63"})
        void followTheStoreThatCameBackFromACopy(int count, long seed) {
            EvacuationFleet fleet = new EvacuationFleet(count, seed);
            fleet.evacuate();
            check(fleet, true, "evacuation");
            fleet.restoreWithout(1);
            for (int j = 0; j < 40; j++) {
                fleet.run(100);
                assertWithMessage("lost evacuation is held")
                        .that(fleet.allSee(true))
                        .isTrue();
            }
            fleet.evacuate();
            fleet.run(15_000);
            assertWithMessage("evacuation written again")
                    .that(fleet.allSee(true))
                    .isTrue();
            fleet.endEvacuation();
            check(fleet, false, "end of the evacuation");
        }
    }
}
