package org.dragonflygw.edge.process;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.file.Path;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * A part of prompts ends endpoints in front of real processes, in ways in which the host reads nothing of the response or sees no
 * reset. The bound is the platform's: three prompts with the part later than the contact time after the fifth end.
 */
final class CrashingPartProcessTest {
    private static final long SEED = 1;
    private static final long RUN_MS = 18_000;
    private static final int MAX_LATE_ARRIVALS = 3;
    private static final int CRASHING_ONE_IN = 20;
    private static final int CHANCE_ONE_IN = 33;

    @TempDir
    Path dir;

    private void assertBlocked(EndpointEnding ending, int firstWaitMs) throws Exception {
        try (PromptFleet fleet = new PromptFleet(SEED, ending, firstWaitMs, CRASHING_ONE_IN, 0, dir)) {
            fleet.run(RUN_MS);
            assertWithMessage(
                            "late arrivals, with %s ends, %s of %s sound prompts served",
                            fleet.crashes(), fleet.soundServed(), fleet.soundSent())
                    .that(fleet.lateArrivals())
                    .isAtMost(MAX_LATE_ARRIVALS);
            assertThat(fleet.crashes()).isAtLeast(3);
            assertSoundNotBlocked(fleet);
        }
    }

    private static void assertSoundNotBlocked(PromptFleet fleet) {
        assertWithMessage(
                        "blocked sound prompts beside %s of %s served, %s ends by chance",
                        fleet.soundServed(), fleet.soundSent(), fleet.chanceEnds())
                .that(fleet.soundBlocked())
                .isEmpty();
    }

    @Nested
    final class CrashingPart {
        /** Guards against ends that count for no part because nothing of the response was read. */
        @Test
        void isBlockedThoughEndpointsEndBeforeTheyAnswer() throws Exception {
            assertBlocked(new EndpointEnding(false, false, false, 50), 300);
        }

        /** Guards against ends without a reset that are taken for signs of life, as the address still accepts. */
        @Test
        void isBlockedThoughEndpointsFallSilentAsTheyAnswer() throws Exception {
            assertBlocked(new EndpointEnding(true, true, false, 0), 0);
        }

        /** Guards against ends that a successor at the same address hides. */
        @Test
        void isBlockedThoughSuccessorsTakeTheSameAddress() throws Exception {
            assertBlocked(new EndpointEnding(false, false, true, 50), 0);
        }
    }

    @Nested
    final class SoundParts {
        /** Guards against sound parts that are blamed because their requests waited at endpoints that ended by chance. */
        @Test
        void areNotBlockedByEndsByChance() throws Exception {
            try (PromptFleet fleet =
                    new PromptFleet(SEED, new EndpointEnding(false, false, false, 50), 300, 0, CHANCE_ONE_IN, dir)) {
                fleet.run(RUN_MS);
                assertThat(fleet.chanceEnds()).isAtLeast(5);
                assertSoundNotBlocked(fleet);
            }
        }
    }
}
