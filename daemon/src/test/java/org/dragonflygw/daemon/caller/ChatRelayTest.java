package org.dragonflygw.daemon.caller;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.InputStream;
import java.net.ServerSocket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.dragonflygw.core.fleet.Endpoint;
import org.dragonflygw.daemon.RouterFixture;
import org.dragonflygw.standins.engine.EngineConfig;
import org.dragonflygw.standins.engine.EngineFaults;
import org.dragonflygw.standins.engine.EngineServer;
import org.dragonflygw.standins.engine.ResponseText;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Relaying of chat completions from one or two engines, with lost, silent and corrupted connections. */
final class ChatRelayTest {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int TOKENS = 60;

    private EngineServer engine;
    private RouterFixture router;

    @BeforeEach
    void start() {
        engine = new EngineServer(
                EngineConfig.builder("engine-1").tokenGapMicros(1_000, 0).build());
        router = new RouterFixture(RouterFixture.settings());
        router.useEndpoints(endpoint(engine));
    }

    @AfterEach
    void stop() {
        router.close();
        engine.close();
    }

    @Nested
    final class CompleteAnswers {
        @Test
        void streamContainsEveryToken() throws Exception {
            assertCompleteAnswer(router.chat("read this", true, TOKENS), "read this");

            assertThat(engine.executions()).hasSize(1);
        }

        @Test
        void unstreamedAnswerIsOneJsonObjectWithTheRequestId() throws Exception {
            HttpResponse<String> response = router.send(router.chat("read this", false, TOKENS));

            assertThat(response.statusCode()).isEqualTo(200);
            JsonNode answer = JSON.readTree(response.body());
            assertThat(answer.path("id").asText())
                    .isEqualTo(response.headers().firstValue("X-Request-Id").orElseThrow());
        }
    }

    @Nested
    final class BrokenConnections {
        @Test
        void silentConnectionIsResumedAtTheNextToken() throws Exception {
            router.useTokenGap(200);
            engine.setFaults(EngineFaults.silence(1, 20));

            assertCompleteAnswer(router.chat("goes silent", true, TOKENS), "goes silent");
            assertThat(engine.executions()).hasSize(1);
        }

        @Test
        void connectionSilentBeforeTheFirstTokenIsResumed() throws Exception {
            router.useTokenGap(200);
            engine.setFaults(EngineFaults.silence(1, 0));

            assertCompleteAnswer(router.chat("silent at once", true, TOKENS), "silent at once");
            assertThat(engine.executions()).hasSize(1);
        }

        @Test
        void unstreamedAnswerIsReadFromItsStreamWhenTheConnectionIsSilent() throws Exception {
            router.useTokenGap(200);
            var waiting = router.http()
                    .sendAsync(router.chat("one piece", false, 4_000).build(), HttpResponse.BodyHandlers.ofString());
            await(() -> engine.inFlight() == 1);
            engine.silenceOpenConnections();

            JsonNode choice =
                    JSON.readTree(waiting.get().body()).path("choices").path(0);
            assertThat(choice.path("message").path("content").asText())
                    .isEqualTo(ResponseText.ofBody(body("one piece", 4_000)).fullText());
            assertThat(choice.path("finish_reason").isTextual()).isTrue();
            assertThat(engine.executions()).hasSize(1);
        }

        @Test
        void duplicatedChunksAreDropped() throws Exception {
            engine.setFaults(EngineFaults.duplicated(3));

            assertCompleteAnswer(router.chat("sent twice", true, TOKENS), "sent twice");
        }

        @Test
        void chunksOfAnotherRequestAreDropped() throws Exception {
            engine.setFaults(EngineFaults.crossed(25));
            CompletableFuture<Void> other = CompletableFuture.runAsync(() -> assertCompleteAnswerUnchecked("one"));

            assertCompleteAnswer(router.chat("two", true, TOKENS), "two");
            other.get();
        }

        @Test
        void crashAfterTheFirstTokenEndsTheStreamWithAnErrorEvent() throws Exception {
            HttpResponse<InputStream> response = router.http()
                    .send(
                            router.chat("crash midway", true, 100_000).build(),
                            HttpResponse.BodyHandlers.ofInputStream());
            assertThat(response.body().read()).isEqualTo('i');
            engine.crash(60_000);

            String rest = new String(response.body().readAllBytes(), StandardCharsets.UTF_8);
            assertThat(rest).contains("event: error\ndata: ");
            assertThat(rest).doesNotContain("[DONE]");
            JsonNode error = JSON.readTree(rest.substring(rest.indexOf("event: error\ndata: ") + 19));
            assertThat(error.path("error").path("code").asText()).isEqualTo("ANSWER_LOST");
            assertThat(error.path("error").path("run").asText()).isEqualTo("run");
        }
    }

    @Nested
    final class FailuresBeforeTheFirstToken {
        @Test
        void crashIsRetriedOnAnotherEngine() throws Exception {
            try (EngineServer second = new EngineServer(EngineConfig.defaults("engine-2"))) {
                engine.setFaults(EngineFaults.crashOn("poison", 60_000));
                router.useEndpoints(endpoint(engine), endpoint(second));

                assertCompleteAnswer(router.chat("poison", true, TOKENS), "poison");
                assertThat(second.executions()).hasSize(1);
            }
        }

        @Test
        void refusedConnectionIsReportedAsNotRun() throws Exception {
            int closedPort;
            try (ServerSocket socket = new ServerSocket(0)) {
                closedPort = socket.getLocalPort();
            }
            router.useEndpoints(RouterFixture.endpoint("gone", RouterFixture.MODEL, closedPort));

            JsonNode error = error(router.chat("hello", true, TOKENS), 503);
            assertThat(error.path("run").asText()).isEqualTo("not_run");
        }
    }

    @Nested
    final class Callers {
        @Test
        void disconnectOfTheCallerCancelsTheRequestAtTheEngine() throws Exception {
            HttpResponse<InputStream> response = router.http()
                    .send(router.chat("leave", true, 1_000_000).build(), HttpResponse.BodyHandlers.ofInputStream());
            assertThat(response.body().read()).isEqualTo('i');
            assertThat(engine.inFlight()).isEqualTo(1);
            response.body().close();

            await(() -> engine.inFlight() == 0);
            await(() -> router.application()
                            .injector()
                            .getInstance(OpenRequests.class)
                            .count()
                    == 0);
        }

        @Test
        void slowCallerReceivesTheCompleteAnswer() throws Exception {
            HttpResponse<InputStream> response = router.http()
                    .send(router.chat("slow", true, 2_000).build(), HttpResponse.BodyHandlers.ofInputStream());
            byte[] first = response.body().readNBytes(100);
            String all = new String(first, StandardCharsets.UTF_8)
                    + new String(response.body().readAllBytes(), StandardCharsets.UTF_8);

            assertThat(text(all))
                    .isEqualTo(ResponseText.ofBody(body("slow", 2_000)).fullText());
        }
    }

    private static Endpoint endpoint(EngineServer engine) {
        return RouterFixture.endpoint(engine.id(), RouterFixture.MODEL, engine.port());
    }

    private void assertCompleteAnswer(HttpRequest.Builder request, String content) throws Exception {
        HttpResponse<String> response = router.send(request);

        assertThat(response.statusCode()).isEqualTo(200);
        assertThat(response.body()).endsWith("data: [DONE]\n\n");
        assertThat(text(response.body()))
                .isEqualTo(ResponseText.ofBody(body(content, TOKENS)).fullText());
    }

    private void assertCompleteAnswerUnchecked(String content) {
        try {
            assertCompleteAnswer(router.chat(content, true, TOKENS), content);
        } catch (Exception e) {
            throw new AssertionError(e);
        }
    }

    private JsonNode error(HttpRequest.Builder request, int status) throws Exception {
        HttpResponse<String> response = router.send(request);
        assertThat(response.statusCode()).isEqualTo(status);
        return JSON.readTree(response.body()).path("error");
    }

    private static byte[] body(String content, int tokens) {
        return ("{\"max_tokens\":" + tokens + ",\"messages\":[{\"role\":\"user\",\"content\":\"" + content + "\"}]}")
                .getBytes(StandardCharsets.UTF_8);
    }

    /** The content of all chunks in an event stream, concatenated. */
    private static String text(String events) throws Exception {
        StringBuilder text = new StringBuilder();
        for (String line : events.split("\n", -1)) {
            if (line.startsWith("data: {")) {
                JsonNode delta =
                        JSON.readTree(line.substring(6)).path("choices").path(0).path("delta");
                text.append(delta.path("content").asText(""));
            }
        }
        return text.toString();
    }

    private static void await(BooleanSupplier condition) throws InterruptedException {
        for (int i = 0; i < 1_000 && !condition.getAsBoolean(); i++) {
            Thread.sleep(10);
        }
        assertThat(condition.getAsBoolean()).isTrue();
    }
}
