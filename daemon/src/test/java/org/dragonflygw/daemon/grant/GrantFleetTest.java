package org.dragonflygw.daemon.grant;

import static com.google.common.truth.Truth.assertThat;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.dragonflygw.core.membership.Member;
import org.dragonflygw.standins.engine.EngineFaults;
import org.dragonflygw.standins.engine.EngineServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests grants between three routers and four engines: normal load, lost or disagreeing stewards, and requests that crash engines. */
final class GrantFleetTest {
    private static final int TOKENS = 30;
    private static final int LONG_TOKENS = 2_000;

    private GrantFleet fleet;

    @BeforeEach
    void start() {
        fleet = new GrantFleet(3, 4);
    }

    @AfterEach
    void stop() {
        fleet.close();
    }

    @Nested
    final class Grants {
        @Test
        void everyRequestCompletesAndAllGrantsEnd() throws Exception {
            List<CompletableFuture<HttpResponse<String>>> calls = new ArrayList<>();
            for (int i = 0; i < 60; i++) {
                calls.add(fleet.start(i % 3, "application " + i, TOKENS));
            }
            for (HttpResponse<String> response : GrantFleet.join(calls)) {
                assertThat(response.statusCode()).isEqualTo(200);
                assertThat(response.body()).contains("[DONE]");
            }
            assertThat(GrantFleet.await(() -> fleet.grants() == 0)).isTrue();
            assertThat(executions()).isEqualTo(60);
        }

        @Test
        void stewardsCountRequestsOfAllRouters() throws Exception {
            List<CompletableFuture<HttpResponse<String>>> calls = new ArrayList<>();
            for (int i = 0; i < 9; i++) {
                calls.add(fleet.start(i % 3, "long application " + i, LONG_TOKENS));
            }
            assertThat(GrantFleet.await(() -> fleet.grants() == 9)).isTrue();
            GrantFleet.join(calls);
            assertThat(GrantFleet.await(() -> fleet.grants() == 0)).isTrue();
        }

        @Test
        void leavingEngineReceivesNoNewRequest() throws Exception {
            EngineServer leaving = fleet.engines.get(0);
            leaving.setLeaving(true);
            GrantFleet.sleep(3_000);
            int before = leaving.executions().size();
            for (int i = 0; i < 20; i++) {
                assertThat(fleet.chat(i % 3, "after leaving " + i, 5).statusCode())
                        .isEqualTo(200);
            }
            assertThat(leaving.executions()).hasSize(before);
        }
    }

    @Nested
    final class StewardFailures {
        @Test
        void newStewardAdoptsRunningRequests() throws Exception {
            List<CompletableFuture<HttpResponse<String>>> calls = new ArrayList<>();
            for (int i = 0; i < 8; i++) {
                calls.add(fleet.start(0, "runs through the change " + i, 6 * LONG_TOKENS));
            }
            assertThat(GrantFleet.await(() -> fleet.grants() == 8)).isTrue();
            List<Member> first = fleet.members().subList(0, 1);
            for (int i = 0; i < 3; i++) {
                fleet.setView(i, first);
            }
            assertThat(GrantFleet.await(() -> fleet.stewards(0).all().size() == 4
                            && fleet.stewards(0).all().stream()
                                            .mapToInt(each -> each.steward().openGrants())
                                            .sum()
                                    == 8))
                    .isTrue();
            for (HttpResponse<String> response : GrantFleet.join(calls)) {
                assertThat(response.body()).contains("[DONE]");
            }
            assertThat(GrantFleet.await(() -> fleet.grants() == 0)).isTrue();
        }

        @Test
        void unreachableStewardIsSkipped() throws Exception {
            List<Member> members = new ArrayList<>(fleet.members());
            members.add(GrantFleet.member("router-silent", 1));
            for (int i = 0; i < 3; i++) {
                fleet.setView(i, members);
            }
            for (int i = 0; i < 12; i++) {
                assertThat(fleet.chat(i % 3, "unreachable " + i, 5).statusCode())
                        .isEqualTo(200);
            }
        }

        @Test
        void fallbackSlotServesRequestWhenNoStewardIsReachable() throws Exception {
            fleet.setView(0, List.of(GrantFleet.member("router-silent", 1)));
            assertThat(fleet.chat(0, "alone", 5).statusCode()).isEqualTo(200);
        }

        @Test
        void requestsCompleteWhileEnginesHaveTwoStewards() throws Exception {
            fleet.setView(0, fleet.members().subList(0, 1));
            List<CompletableFuture<HttpResponse<String>>> calls = new ArrayList<>();
            for (int i = 0; i < 30; i++) {
                calls.add(fleet.start(i % 3, "split view " + i, TOKENS));
            }
            for (HttpResponse<String> response : GrantFleet.join(calls)) {
                assertThat(response.statusCode()).isEqualTo(200);
            }
            fleet.showAllMembers();
            assertThat(GrantFleet.await(() -> fleet.grants() == 0)).isTrue();
        }
    }

    @Nested
    final class PoisonRequests {
        private static final String POISON = "poison application";

        @Test
        void crashTwoEnginesAndNoMore() throws Exception {
            fleet.engines.forEach(engine -> engine.setFaults(EngineFaults.crashOn(POISON, 30_000)));
            for (int i = 0; i < 30; i++) {
                HttpResponse<String> response = fleet.chat(i % 3, POISON, TOKENS);
                assertThat(response.body()).doesNotContain("[DONE]");
            }
            assertThat(down()).isEqualTo(2);
            assertThat(fleet.chat(0, "innocent application", TOKENS).body()).contains("[DONE]");
        }

        @Test
        void crashAtMostTwoEnginesWhenSentConcurrently() throws Exception {
            fleet.engines.forEach(engine -> engine.setFaults(EngineFaults.crashOn(POISON, 30_000)));
            List<CompletableFuture<HttpResponse<String>>> calls = new ArrayList<>();
            for (int i = 0; i < 30; i++) {
                calls.add(fleet.start(i % 3, POISON, TOKENS));
            }
            GrantFleet.join(calls);
            assertThat(down()).isAtMost(2);
        }

        private long down() {
            return fleet.engines.stream().filter(EngineServer::isDown).count();
        }
    }

    private int executions() {
        return fleet.engines.stream()
                .mapToInt(engine -> engine.executions().size())
                .sum();
    }
}
