package org.dragonflygw.core.peers;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class ReportPacingTest {
    private static double reportsPerSecond(int peers) {
        return Math.min(peers, ReportPacing.FAN_OUT) * 1_000.0 / ReportPacing.intervalMs(peers);
    }

    @Nested
    final class LargeFleet {
        /** An idle host of a large fleet must not spend its processor share on hearing the others. */
        @Test
        void reportsPerHostDoNotGrowWithTheFleet() {
            assertThat(reportsPerSecond(94)).isLessThan(18.0);
            assertThat(reportsPerSecond(400)).isEqualTo(16.0);
            assertThat(reportsPerSecond(999)).isEqualTo(16.0);
        }

        @Test
        void everyPeerGetsItsTurn() {
            assertThat(ReportPacing.roundsPerPeer(94)).isEqualTo(12);
            assertThat(ReportPacing.turnMs(94)).isEqualTo(12 * 470);
        }
    }

    @Nested
    final class SmallFleet {
        @Test
        void everyPeerHearsEveryRound() {
            assertThat(ReportPacing.roundsPerPeer(5)).isEqualTo(1);
            assertThat(ReportPacing.turnMs(5)).isEqualTo(200);
        }

        @Test
        void hostWithoutPeersKeepsTheShortestInterval() {
            assertThat(ReportPacing.roundsPerPeer(0)).isEqualTo(1);
            assertThat(ReportPacing.intervalMs(0)).isEqualTo(200);
        }
    }
}
