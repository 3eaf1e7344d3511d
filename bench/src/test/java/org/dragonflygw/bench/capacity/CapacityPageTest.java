package org.dragonflygw.bench.capacity;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

final class CapacityPageTest {
    private static final Path DOCS = Path.of("..", "docs");

    private final CapacityModel model = new CapacityModel(Slopes.read(DOCS.resolve("measurements/slopes.csv")));

    @Test
    void pageMatchesTablesComputedFromSlopes() throws IOException {
        String page = Files.readString(DOCS.resolve("CAPACITY.md"));
        assertThat(CapacityPage.update(page, model)).isEqualTo(page);
    }

    @Test
    void controlCostStaysWithinBudgetOfOneDaemon() {
        for (Scenario scenario : new Scenario[] {Scenario.WHOLE, Scenario.ZONE_LOST}) {
            assertThat(model.controlKilobytes(scenario)).isAtMost(19.0);
            assertThat(model.controlCorePercent(scenario)).isAtMost(1.7);
            assertThat(model.controlMegabytes(scenario)).isAtMost(32.0);
        }
    }

    @Test
    void doubledLoadRaisesControlTraffic() {
        Scenario twice = new Scenario("twice", 400, 600, 12_200, 3_000_000);
        assertThat(model.controlKilobytes(twice)).isGreaterThan(model.controlKilobytes(Scenario.WHOLE));
    }
}
