package org.dragonflygw.daemon.ledger;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.inject.Module;
import com.google.inject.util.Modules;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.dragonflygw.daemon.PlatformModule;
import org.dragonflygw.daemon.RouterFixture;
import org.dragonflygw.standins.plain.PlainFaults;
import org.dragonflygw.standins.plain.PlainServer;
import org.dragonflygw.standins.platform.PlatformConfig;
import org.dragonflygw.standins.platform.PlatformFaults;
import org.dragonflygw.standins.platform.PlatformServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Non-idempotent submissions through two routers with a shared ledger. Routers, one plain service and the platform are
 * connected over sockets.
 */
final class TwoRouterSubmissionsTest {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int WAIT_SECONDS = 30;

    private PlatformServer platform;
    private PlainServer service;
    private RouterFixture first;
    private RouterFixture second;
    private volatile boolean firstCannotReachStore;

    @BeforeEach
    void start() throws Exception {
        platform = new PlatformServer(PlatformConfig.UNLIMITED);
        service = new PlainServer("filings-1", 0);
        first = router("router-1");
        second = router("router-2");
    }

    @AfterEach
    void stop() {
        first.close();
        second.close();
        service.close();
        platform.close();
    }

    private RouterFixture router(String id) throws Exception {
        Module platformModule = id.equals("router-1")
                ? Modules.override(new PlatformModule()).with(new UnreachableStoreModule(() -> firstCannotReachStore))
                : new PlatformModule();
        Module modules = Modules.combine(platformModule, new LedgerModule());
        RouterFixture router =
                new RouterFixture(RouterFixture.settings().setDaemonId(id).setPlatformUrl(platform.baseUrl()), modules);
        router.useEndpoints(RouterFixture.endpoint("filings-1", RouterFixture.PLAIN, service.port()));
        return router;
    }

    private static HttpRequest.Builder booking(RouterFixture router, String key, String body) {
        return router.call("/services/" + RouterFixture.PLAIN + "/pickups")
                .header("Idempotency-Key", key)
                .header("X-Non-Idempotent", "true")
                .POST(HttpRequest.BodyPublishers.ofString(body));
    }

    private static HttpResponse<String> book(RouterFixture router, String key) throws Exception {
        return router.send(booking(router, key, "{\"bank\":7}"));
    }

    private static CompletableFuture<HttpResponse<String>> bookAsync(RouterFixture router, String key) {
        return router.http()
                .sendAsync(booking(router, key, "{\"bank\":7}").build(), HttpResponse.BodyHandlers.ofString());
    }

    private static void assertError(HttpResponse<String> response, int status, String code, String run)
            throws Exception {
        assertThat(response.statusCode()).isEqualTo(status);
        JsonNode error = JSON.readTree(response.body()).path("error");
        assertThat(error.path("code").asText()).isEqualTo(code);
        assertThat(error.path("run").asText()).isEqualTo(run);
    }

    @Nested
    final class SameKey {
        @Test
        void runsOnceAndGetsTheSameAnswerFromEveryRouter() throws Exception {
            HttpResponse<String> run = book(first, "k1");
            HttpResponse<String> again = book(first, "k1");
            HttpResponse<String> elsewhere = book(second, "k1");

            assertThat(run.statusCode()).isEqualTo(200);
            assertThat(again.body()).isEqualTo(run.body());
            assertThat(elsewhere.body()).isEqualTo(run.body());
            assertThat(service.executionCount("k1")).isEqualTo(1);
        }

        @Test
        void runsOnceWhenSentToBothRoutersConcurrently() throws Exception {
            service.setFaults(PlainFaults.delays(50, 50));
            List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
            for (int i = 0; i < 12; i++) {
                answers.add(bookAsync(i % 2 == 0 ? first : second, "k" + i / 4));
            }
            for (int i = 0; i < 12; i++) {
                HttpResponse<String> answer = answers.get(i).get(WAIT_SECONDS, TimeUnit.SECONDS);
                assertThat(answer.statusCode()).isEqualTo(200);
                assertThat(answer.body())
                        .isEqualTo(answers.get(i / 4 * 4).join().body());
            }
            assertThat(service.executions()).hasSize(3);
        }

        @Test
        void isRefusedWithDifferentContent() throws Exception {
            book(first, "k1");
            assertError(second.send(booking(second, "k1", "{\"bank\":8}")), 422, "KEY_REUSED", "not_run");
            assertThat(service.executions()).hasSize(1);
        }
    }

    @Nested
    final class PlatformFailures {
        @Test
        void lostStoreAnswersCauseNeitherALostNorASecondRun() throws Exception {
            platform.setFaults(PlatformFaults.losingAnswers(2));
            for (int i = 0; i < 10; i++) {
                assertThat(book(first, "k" + i).statusCode()).isEqualTo(200);
                assertThat(book(second, "k" + i).statusCode()).isEqualTo(200);
                assertThat(service.executionCount("k" + i)).isEqualTo(1);
            }
        }

        @Test
        void submissionsAreRefusedAndNotRunDuringAnOutage() throws Exception {
            platform.setFaults(PlatformFaults.storeOutage());
            HttpResponse<String> refused = book(first, "k1");

            assertError(refused, 503, "LEDGER_UNAVAILABLE", "not_run");
            assertThat(refused.headers().firstValue("Retry-After")).isPresent();
            assertThat(service.executions()).isEmpty();

            platform.setFaults(PlatformFaults.NONE);
            TimeUnit.MILLISECONDS.sleep(300);
            assertThat(book(second, "k1").statusCode()).isEqualTo(200);
            assertThat(service.executionCount("k1")).isEqualTo(1);
        }

        @Test
        void submissionIsRefusedWhenTheStoreIsSilent() throws Exception {
            platform.setFaults(PlatformFaults.silence());
            assertError(book(first, "k1"), 503, "LEDGER_UNAVAILABLE", "not_run");
            assertThat(service.executions()).isEmpty();
        }

        @Test
        void sameRouterReplaysTheAnswerDuringAnOutageAfterTheRun() throws Exception {
            service.setFaults(PlainFaults.delays(0, 300));
            CompletableFuture<HttpResponse<String>> run = bookAsync(first, "k1");
            while (service.executions().isEmpty()) {
                TimeUnit.MILLISECONDS.sleep(5);
            }
            platform.setFaults(PlatformFaults.storeOutage());
            String answer = run.get(WAIT_SECONDS, TimeUnit.SECONDS).body();

            assertThat(book(first, "k1").body()).isEqualTo(answer);
            assertError(book(second, "k1"), 503, "LEDGER_UNAVAILABLE", "not_run");
            assertThat(service.executionCount("k1")).isEqualTo(1);
        }
    }

    @Nested
    final class ServiceFailures {
        @Test
        void answerLostAfterTheRunStaysUnknownAndIsNotRunAgain() throws Exception {
            service.setFaults(PlainFaults.losingAnswers(1));
            HttpResponse<String> lost = book(first, "k1");
            service.setFaults(PlainFaults.NONE);

            assertThat(JSON.readTree(lost.body()).path("error").path("run").asText())
                    .isEqualTo("unknown");
            assertError(book(first, "k1"), 409, "OUTCOME_UNKNOWN", "unknown");
            assertError(book(second, "k1"), 409, "OUTCOME_UNKNOWN", "unknown");
            assertThat(service.executionCount("k1")).isEqualTo(1);
        }

        @Test
        void keyCanBeUsedAgainWhenTheServiceWasDown() throws Exception {
            int port = service.port();
            service.close();
            HttpResponse<String> refused = book(first, "k1");
            assertThat(JSON.readTree(refused.body()).path("error").path("run").asText())
                    .isEqualTo("not_run");
            service = new PlainServer("filings-1", port);
            assertThat(book(second, "k1").statusCode()).isEqualTo(200);
            assertThat(service.executionCount("k1")).isEqualTo(1);
        }
    }

    @Nested
    final class UnreachableOwner {
        @Test
        void betweenClaimAndOutcomeLeavesTheOutcomeUnknown() throws Exception {
            service.setFaults(PlainFaults.delays(0, 500));
            HttpRequest.Builder submission =
                    booking(first, "k1", "{\"bank\":7}").header("X-Deadline-Millis", "2000");
            CompletableFuture<HttpResponse<String>> lost =
                    first.http().sendAsync(submission.build(), HttpResponse.BodyHandlers.ofString());
            while (service.executions().isEmpty()) {
                TimeUnit.MILLISECONDS.sleep(5);
            }
            firstCannotReachStore = true;

            HttpRequest.Builder early = booking(second, "k1", "{\"bank\":7}").header("X-Deadline-Millis", "500");
            assertError(second.send(early), 409, "SUBMISSION_IN_PROGRESS", "unknown");
            lost.get(WAIT_SECONDS, TimeUnit.SECONDS);
            assertError(book(second, "k1"), 409, "OUTCOME_UNKNOWN", "unknown");
            assertThat(service.executionCount("k1")).isEqualTo(1);
        }
    }
}
