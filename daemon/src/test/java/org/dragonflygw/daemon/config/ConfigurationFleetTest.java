package org.dragonflygw.daemon.config;

import static com.google.common.truth.Truth.assertThat;
import static org.dragonflygw.daemon.FleetFixture.eventually;

import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import org.dragonflygw.core.inspect.SheetApplyView;
import org.dragonflygw.core.inspect.SheetCheckView;
import org.dragonflygw.core.inspect.SheetDiffView;
import org.dragonflygw.core.inspect.SheetView;
import org.dragonflygw.daemon.FleetFixture;
import org.dragonflygw.standins.platform.PlatformFaults;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests publication and distribution of sheets over three routers, also during an outage of the store. */
class ConfigurationFleetTest {
    private final FleetFixture fleet = new FleetFixture();
    private byte[] first;
    private byte[] second;

    @BeforeEach
    void startThree() throws Exception {
        first = FleetFixture.exampleSheet("peachtree.csv");
        second = new String(first, StandardCharsets.UTF_8)
                .replaceFirst("(team,clerks,[0-9a-f]+),40,", "$1,50,")
                .getBytes(StandardCharsets.UTF_8);
        fleet.start("r1");
        fleet.start("r2");
        fleet.start("r3");
    }

    @AfterEach
    void stopAll() throws Exception {
        fleet.stopAll();
    }

    private boolean ready(String id) {
        try {
            return fleet.isReady(id);
        } catch (Exception e) {
            return false;
        }
    }

    @Nested
    class Apply {
        @Test
        void appliedSheetReachesEveryDaemonAndIsShown() throws Exception {
            assertThat(ready("r1")).isFalse();
            assertThat(fleet.apply("r1", first, 0, "t1").statusCode()).isEqualTo(200);
            assertThat(eventually(() -> fleet.allHaveSheet(1))).isTrue();
            assertThat(eventually(() -> ready("r1") && ready("r2") && ready("r3")))
                    .isTrue();
            SheetView shown =
                    FleetFixture.JSON.readValue(fleet.get("r3", "/v1/sheet").body(), SheetView.class);
            assertThat(shown.content()).isEqualTo(new String(first, StandardCharsets.UTF_8));
        }

        @Test
        void conflictReportsTheWinningSheet() throws Exception {
            assertThat(fleet.apply("r1", first, 0, "t1").statusCode()).isEqualTo(200);
            HttpResponse<String> lost = fleet.apply("r2", second, 0, "t2");
            assertThat(lost.statusCode()).isEqualTo(409);
            SheetApplyView view = FleetFixture.JSON.readValue(lost.body(), SheetApplyView.class);
            assertThat(view.number()).isEqualTo(1);
            assertThat(view.changes()).containsExactly("changed team clerks: weight 40 -> 50");
        }

        @Test
        void rejectsInvalidSheetAndMissingParameters() throws Exception {
            byte[] invalid = "kind,name\n".getBytes(StandardCharsets.UTF_8);
            HttpResponse<String> refused = fleet.apply("r1", invalid, 0, "t1");
            assertThat(refused.statusCode()).isEqualTo(422);
            SheetCheckView check = FleetFixture.JSON.readValue(refused.body(), SheetCheckView.class);
            assertThat(check.problems()).isNotEmpty();
            assertThat(fleet.post("r1", "/v1/sheet/apply", first).statusCode()).isEqualTo(400);
        }

        @Test
        void diffListsChangesToTheActiveSheet() throws Exception {
            fleet.apply("r1", first, 0, "t1");
            HttpResponse<String> diff = fleet.post("r1", "/v1/sheet/diff", second);
            SheetDiffView view = FleetFixture.JSON.readValue(diff.body(), SheetDiffView.class);
            assertThat(view.number()).isEqualTo(1);
            assertThat(view.changes()).containsExactly("changed team clerks: weight 40 -> 50");
        }

        @Test
        void succeedsWhenStoreResponsesAreLost() throws Exception {
            fleet.platform().setFaults(PlatformFaults.losingAnswers(2));
            assertThat(fleet.apply("r1", first, 0, "t1").statusCode()).isEqualTo(200);
            assertThat(fleet.apply("r2", first, 0, "t1").statusCode()).isEqualTo(200);
            assertThat(eventually(() -> fleet.allHaveSheet(1))).isTrue();
        }
    }

    @Nested
    class StoreOutage {
        @Test
        void applyFailsAndTheActiveSheetStays() throws Exception {
            fleet.apply("r1", first, 0, "t1");
            assertThat(eventually(() -> fleet.allHaveSheet(1))).isTrue();
            fleet.platform().setFaults(PlatformFaults.storeOutage());
            assertThat(fleet.apply("r1", second, 1, "t2").statusCode()).isEqualTo(503);
            assertThat(fleet.allHaveSheet(1)).isTrue();
        }

        @Test
        void newDaemonFetchesTheSheetFromPeers() throws Exception {
            fleet.apply("r1", first, 0, "t1");
            assertThat(eventually(() -> fleet.allHaveSheet(1))).isTrue();
            fleet.platform().setFaults(PlatformFaults.storeOutage());
            fleet.kill("r3");
            fleet.start("r4");
            assertThat(eventually(() -> fleet.sheetNumber("r4") == 1)).isTrue();
            assertThat(eventually(() -> ready("r4"))).isTrue();
        }

        @Test
        void daemonWithoutSourcesIsNotReady() throws Exception {
            fleet.apply("r1", first, 0, "t1");
            fleet.platform().setFaults(PlatformFaults.totalOutage());
            fleet.start("r4");
            assertThat(ready("r4")).isFalse();
            assertThat(fleet.sheetNumber("r4")).isEqualTo(0);
        }

        @Test
        void staleStoreDoesNotRevertTheSheet() throws Exception {
            fleet.apply("r1", first, 0, "t1");
            assertThat(eventually(() -> fleet.allHaveSheet(1))).isTrue();
            fleet.platform().setFaults(PlatformFaults.stale());
            assertThat(fleet.apply("r2", second, 1, "t2").statusCode()).isEqualTo(200);
            assertThat(eventually(() -> fleet.allHaveSheet(2))).isTrue();
            fleet.start("r4");
            assertThat(eventually(() -> ready("r4"))).isTrue();
            assertThat(fleet.sheetNumber("r4")).isEqualTo(2);
            assertThat(fleet.allHaveSheet(2)).isTrue();
        }
    }
}
