package org.dragonflygw.core.dispatch;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Holds the bounds that {@code docs/design/even-load.md} names for the choice of engines from old load reports. */
final class FleetSimulationTest {
    private static final long SEED = 1;
    private static final int ENGINES = 98;

    private static FleetSimulation.Figures run(int hosts, double reportMs) {
        return new FleetSimulation(hosts, ENGINES, reportMs, SEED).run();
    }

    /** Guards against a spread of prompts that costs small fleets, which know each other's load, their cache reuse. */
    @Nested
    final class FreshReports {
        @Test
        void keepReuseAndTimeToFirstToken() {
            FleetSimulation.Figures f = run(6, 200);
            assertThat(f.readAgain()).isAtMost(0.024);
            assertThat(f.fetched()).isAtMost(0.03);
            assertThat(f.firstTokenMs()).isAtMost(29);
            assertThat(f.overBound()).isAtMost(0.005);
        }
    }

    /** Guards against hosts that all send to the engine that was the least loaded one at the time of old reports. */
    @Nested
    final class OldReports {
        @Test
        void loadOf65HostsStaysEven() {
            FleetSimulation.Figures f = run(65, 1_600);
            assertThat(f.peakOverMean()).isAtMost(3.2);
            assertThat(f.overBound()).isAtMost(0.02);
            assertThat(f.idle()).isAtMost(0.01);
            assertThat(f.late()).isAtMost(0.01);
            assertThat(f.readAgain()).isAtMost(0.03);
        }

        @Test
        void loadOf128HostsStaysEven() {
            FleetSimulation.Figures f = run(128, 3_200);
            assertThat(f.peakOverMean()).isAtMost(3.5);
            assertThat(f.overBound()).isAtMost(0.03);
            assertThat(f.idle()).isAtMost(0.02);
            assertThat(f.late()).isAtMost(0.015);
            assertThat(f.readAgain()).isAtMost(0.03);
        }
    }
}
