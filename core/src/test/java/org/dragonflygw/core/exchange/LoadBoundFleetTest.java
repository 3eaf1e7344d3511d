package org.dragonflygw.core.exchange;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against engines that hold a multiple of the mean load of their service, by the true loads of all hosts together. */
final class LoadBoundFleetTest {
    private static final int HOSTS = 6;
    private static final int ENGINES = 13;
    private static final double RATE = 3;
    private static final int RUN_MS = 60_000;

    private static void assertLimitKept(LoadBoundFleet fleet) {
        assertWithMessage("largest share in five seconds %s", fleet.counter.largestShare())
                .that(fleet.counter.isBroken())
                .isFalse();
    }

    @Nested
    final class WhileEverythingChanges {
        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4})
        void noWindowHasTooManyRequestsOverTheBound(long seed) {
            LoadBoundFleet fleet = new LoadBoundFleet(HOSTS, ENGINES, RATE, seed).runWithChanges(RUN_MS);
            assertLimitKept(fleet);
            assertThat(fleet.rejectedShare()).isLessThan(0.01);
        }
    }

    @Nested
    final class DuringReleasesOfNewerSoftware {
        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3})
        void theLastEnginesOfTheOldVersionAreNotOverfilled(long seed) {
            LoadBoundFleet fleet = new LoadBoundFleet(HOSTS, ENGINES, RATE, seed).run(5_000);
            for (int i = 0; i < 3; i++) {
                fleet.release(0.95, 9, 100, true).run(8_000);
            }
            assertLimitKept(fleet);
        }
    }

    @Nested
    final class InCalm {
        @Test
        void hardlyAnyRequestIsOverTheBound() {
            LoadBoundFleet fleet = new LoadBoundFleet(HOSTS, ENGINES, 1, 1).run(20_000);
            assertThat(fleet.counter.share()).isLessThan(0.01);
            assertThat(fleet.servedShare()).isGreaterThan(0.9);
        }
    }
}
