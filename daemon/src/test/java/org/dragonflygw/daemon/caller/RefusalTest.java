package org.dragonflygw.daemon.caller;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import org.dragonflygw.daemon.RouterFixture;
import org.dragonflygw.standins.engine.EngineConfig;
import org.dragonflygw.standins.engine.EngineServer;
import org.dragonflygw.standins.plain.PlainFaults;
import org.dragonflygw.standins.plain.PlainServer;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;

/**
 * Requests that the router refuses or that fail at the endpoint, with the status, error code and run status sent to the
 * caller.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
final class RefusalTest {
    private static final ObjectMapper JSON = new ObjectMapper();

    private EngineServer engine;
    private PlainServer service;
    private RouterFixture router;

    @BeforeAll
    void start() {
        engine = new EngineServer(EngineConfig.defaults("engine-1"));
        service = new PlainServer("filings-1", 0);
        router = new RouterFixture(RouterFixture.settings().setMaxOpenRequests(2));
    }

    @AfterAll
    void stop() {
        router.close();
        service.close();
        engine.close();
    }

    @BeforeEach
    void reset() {
        service.setFaults(PlainFaults.NONE);
        router.useTokenGap(500);
        router.useEndpoints(
                RouterFixture.endpoint("engine-1", RouterFixture.MODEL, engine.port()),
                RouterFixture.endpoint("filings-1", RouterFixture.PLAIN, service.port()));
    }

    @Nested
    final class TeamKeys {
        @Test
        void unknownKeyIsRefusedOnEveryPath() throws Exception {
            int before = service.executions().size();
            for (String path : new String[] {"/v1/chat/completions", "/services/filings/book"}) {
                assertRefused(
                        router.call(path)
                                .setHeader("Authorization", "Bearer other")
                                .POST(BodyPublishers.ofString("{}")),
                        401,
                        "UNKNOWN_KEY");
            }
            assertRefused(router.call("/v1/models").setHeader("Authorization", "Bearer other"), 401, "UNKNOWN_KEY");
            assertThat(service.executions()).hasSize(before);
        }

        @Test
        void missingKeyIsRefused() throws Exception {
            assertRefused(HttpRequest.newBuilder(router.callerUri("/v1/models")), 401, "UNKNOWN_KEY");
        }

        @Test
        void hashOfTheKeyIsRefused() throws Exception {
            assertRefused(
                    router.call("/v1/models").setHeader("Authorization", "Bearer " + RouterFixture.KEY_SHA256),
                    401,
                    "UNKNOWN_KEY");
        }

        @Test
        void knownKeyListsTheModelsOfItsTeam() throws Exception {
            HttpResponse<String> response = router.send(router.call("/v1/models"));

            assertThat(response.statusCode()).isEqualTo(200);
            assertThat(JSON.readTree(response.body()).at("/data/0/id").asText()).isEqualTo(RouterFixture.MODEL);
        }
    }

    @Nested
    final class InvalidRequests {
        @Test
        void invalidBodiesAreRefused() throws Exception {
            assertBody("", 400, "INVALID_BODY");
            assertBody("{\"model\":", 400, "INVALID_BODY");
            assertBody("[]", 400, "INVALID_BODY");
            assertBody("{\"model\":\"reviewer\"}", 400, "INVALID_BODY");
            assertBody("{\"model\":\"reviewer\",\"messages\":[]}", 400, "INVALID_BODY");
            assertBody("{\"model\":\"nothing\",\"messages\":[{\"role\":\"user\"}]}", 404, "NO_ROUTE");
            assertBody("x".repeat(70_000), 413, "BODY_TOO_LARGE");
        }

        @Test
        void invalidHeadersAreRefused() throws Exception {
            assertRefused(router.chat("a", true, 1).header("X-Priority", "10"), 400, "INVALID_HEADER");
            assertRefused(router.chat("a", true, 1).header("X-Deadline-Millis", "soon"), 400, "INVALID_HEADER");
            assertRefused(router.chat("a", true, 1).header("X-Non-Idempotent", "maybe"), 400, "INVALID_HEADER");
            assertRefused(
                    router.chat("a", true, 1).header("X-Non-Idempotent", "true"), 400, "IDEMPOTENCY_KEY_REQUIRED");
        }

        @Test
        void unknownPathsAndMethodsAreRefused() throws Exception {
            assertRefused(router.call("/v2/nothing"), 404, "NOT_FOUND");
            assertRefused(router.call("/v1/chat/completions"), 405, "METHOD_NOT_ALLOWED");
            assertRefused(router.call("/services/unknown/x"), 404, "NO_ROUTE");
        }

        private void assertBody(String body, int status, String code) throws Exception {
            assertRefused(router.call("/v1/chat/completions").POST(BodyPublishers.ofString(body)), status, code);
        }
    }

    @Nested
    final class UnavailableService {
        @Test
        void refusesWithoutAConfiguration() throws Exception {
            router.useNoSheet();

            JsonNode error = assertRefused(router.chat("a", true, 1), 503, "NO_CONFIGURATION");
            assertThat(error.path("retryAfterMillis").asLong()).isGreaterThan(0);
            assertThat(router.operator("/health/ready").statusCode()).isEqualTo(503);
        }

        @Test
        void refusesWithoutAnEndpoint() throws Exception {
            router.useEndpoints();

            JsonNode error = assertRefused(router.chat("a", true, 1), 503, "NO_ENDPOINT");
            assertThat(error.path("retryAfterMillis").asLong()).isGreaterThan(0);
        }

        @Test
        void refusesMoreThanTheMaximumOfOpenRequests() throws Exception {
            service.setFaults(PlainFaults.delays(1_500, 0));
            var first = router.http().sendAsync(book("one").build(), HttpResponse.BodyHandlers.ofString());
            var second = router.http().sendAsync(book("two").build(), HttpResponse.BodyHandlers.ofString());
            OpenRequests open = router.application().injector().getInstance(OpenRequests.class);
            for (int i = 0; i < 500 && open.count() < 2; i++) {
                Thread.sleep(2);
            }

            assertRefused(book("three"), 503, "ROUTER_FULL");
            assertThat(first.get().statusCode()).isEqualTo(200);
            assertThat(second.get().statusCode()).isEqualTo(200);
        }
    }

    @Nested
    final class PlainServices {
        @Test
        void lostAnswerToAPostIsReportedAsUnknownAndNotRetried() throws Exception {
            int before = service.executions().size();
            service.setFaults(PlainFaults.losingAnswers(1));

            JsonNode error = error(book("lost"), 502, "ANSWER_LOST");
            assertThat(error.path("run").asText()).isEqualTo("unknown");
            assertThat(service.executions()).hasSize(before + 1);
        }

        @Test
        void silentServiceFailsAtTheDeadline() throws Exception {
            service.setFaults(PlainFaults.silent(1));

            JsonNode error = error(book("silent").header("X-Deadline-Millis", "300"), 502, "ANSWER_LOST");
            assertThat(error.path("run").asText()).isEqualTo("unknown");
        }

        @Test
        void callIsForwardedWithPathAndRequestId() throws Exception {
            HttpResponse<String> response = router.send(book("kept"));

            assertThat(response.statusCode()).isEqualTo(200);
            var executions = service.executions();
            assertThat(executions.get(executions.size() - 1).path()).isEqualTo("/book");
            assertThat(executions.get(executions.size() - 1).requestId())
                    .isEqualTo(response.headers().firstValue("X-Request-Id").orElseThrow());
        }
    }

    private HttpRequest.Builder book(String text) {
        return router.call("/services/filings/book").POST(BodyPublishers.ofString("\"" + text + "\""));
    }

    private JsonNode assertRefused(HttpRequest.Builder request, int status, String code) throws Exception {
        JsonNode error = error(request, status, code);
        assertThat(error.path("run").asText()).isEqualTo("not_run");
        return error;
    }

    private JsonNode error(HttpRequest.Builder request, int status, String code) throws Exception {
        HttpResponse<String> response = router.send(request);
        JsonNode error = JSON.readTree(response.body()).path("error");
        assertThat(error.path("code").asText()).isEqualTo(code);
        assertThat(response.statusCode()).isEqualTo(status);
        assertThat(error.path("message").asText()).isNotEmpty();
        assertThat(error.path("requestId").asText()).isNotEmpty();
        return error;
    }
}
