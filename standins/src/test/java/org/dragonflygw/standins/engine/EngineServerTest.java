package org.dragonflygw.standins.engine;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.dragonflygw.standins.http.Json;
import org.dragonflygw.standins.http.TestHttp;
import org.dragonflygw.standins.http.TestHttp.Reply;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class EngineServerTest {
    private static final int WAIT_MILLIS = 20_000;
    private static final int SILENCE_MILLIS = 300;
    private static final int ALL = 10_000;

    private final EngineServer engine = new EngineServer(EngineConfig.builder("engine-1")
            .tokenGapMicros(500, 5)
            .loadLagMillis(0)
            .cacheEvents(0, 0)
            .orderMillis(0)
            .build());

    @AfterEach
    void stop() {
        engine.close();
    }

    @Nested
    final class Answers {
        @Test
        void streamCarriesEachTokenOnceInOrder() {
            String body = body("hello", 5, true);

            List<String> lines = stream(body, "r1");

            assertThat(ids(lines)).containsExactly(0, 1, 2, 3, 4).inOrder();
            assertThat(content(lines)).isEqualTo(whole(body));
            assertThat(lines).contains("data: [DONE]");
            assertThat(lines.get(1)).contains("\"id\":\"r1\"");
        }

        @Test
        void nonStreamingAnswerHasTheSameText() {
            String body = body("hello", 7, false);

            Reply reply = TestHttp.call("POST", completions(), body, "X-Request-Id", "r1");

            assertThat(reply.status()).isEqualTo(200);
            assertThat(Json.tree(reply.text().getBytes(StandardCharsets.UTF_8))
                            .at("/choices/0/message/content")
                            .asText())
                    .isEqualTo(whole(body));
        }

        @Test
        void otherMessagesGetAnotherText() {
            assertThat(whole(body("a", 5, true))).isNotEqualTo(whole(body("b", 5, true)));
        }

        @Test
        void malformedBodyIsRejected() {
            assertThat(TestHttp.call("POST", completions(), "{").status()).isEqualTo(400);
            assertThat(TestHttp.call("POST", completions(), "{}").status()).isEqualTo(400);
            assertThat(engine.executions()).isEmpty();
        }
    }

    @Nested
    final class Streams {
        @Test
        void resumeContinuesAtTheGivenToken() {
            String body = body("hello", 40, true);
            List<String> first = TestHttp.lines(WAIT_MILLIS, 9, completions(), body, "X-Request-Id", "r1");

            List<String> rest = TestHttp.lines(WAIT_MILLIS, ALL, streams("r1") + "?from=3", "");

            assertThat(ids(first)).containsExactly(0, 1, 2).inOrder();
            assertThat(content(first) + content(rest)).isEqualTo(whole(body));
        }

        @Test
        void resumeOfAnUnknownStreamIsNotFound() {
            assertThat(TestHttp.call("GET", streams("none"), "").status()).isEqualTo(404);
        }

        @Test
        void cancelEndsTheStream() {
            TestHttp.lines(WAIT_MILLIS, 3, completions(), body("hello", 100_000, true), "X-Request-Id", "r1");

            assertThat(TestHttp.call("DELETE", streams("r1"), "").status()).isEqualTo(204);

            assertThat(engine.inFlight()).isEqualTo(0);
            assertThat(TestHttp.call("GET", streams("r1"), "").status()).isEqualTo(404);
        }
    }

    @Nested
    final class Faults {
        @Test
        void markedRequestCrashesTheEngineUntilItsRestart() {
            engine.setFaults(EngineFaults.crashOn("poison", 200));

            assertThrows(
                    UncheckedIOException.class, () -> TestHttp.call("POST", completions(), body("poison", 5, true)));

            awaitTrue(() -> stream(body("hello", 5, true), "r2").contains("data: [DONE]"));
        }

        @Test
        void silentConnectionStaysOpenWhileNewOnesWork() {
            engine.setFaults(EngineFaults.silence(2, 3));
            String body = body("hello", 6, true);
            stream(body, "r1");

            List<String> cut = TestHttp.lines(SILENCE_MILLIS, ALL, completions(), body, "X-Request-Id", "r2");
            List<String> rest = TestHttp.lines(WAIT_MILLIS, ALL, streams("r2") + "?from=3", "");

            assertThat(ids(cut)).containsExactly(0, 1, 2).inOrder();
            assertThat(ids(rest)).containsExactly(3, 4, 5).inOrder();
        }

        @Test
        void crossedChunkBelongsToAnotherRequest() {
            engine.setFaults(EngineFaults.crossed(3));

            List<String> lines = stream(body("hello", 5, true), "r1");

            assertThat(ids(lines)).hasSize(5);
            assertThat(lines.stream().filter(line -> line.contains("\"id\":\"r1\"")))
                    .hasSize(4);
        }

        @Test
        void duplicatedChunkIsSentTwice() {
            engine.setFaults(EngineFaults.duplicated(2));

            assertThat(ids(stream(body("hello", 4, true), "r1")))
                    .containsExactly(0, 1, 1, 2, 3, 3)
                    .inOrder();
        }

        @Test
        void lateAnswerIsComplete() {
            engine.setFaults(EngineFaults.late(300));
            String body = body("hello", 4, true);

            assertThat(TestHttp.lines(100, ALL, completions(), body)).isEmpty();
            assertThat(content(stream(body, "r1"))).isEqualTo(whole(body));
        }

        @Test
        void flappingClosesAndOpensThePort() {
            engine.setFaults(EngineFaults.flapping(100, 100));

            awaitTrue(engine::isDown);
            awaitTrue(() -> !engine.isDown());
            awaitTrue(engine::isDown);
        }

        @Test
        void leavingShowsInTheLoadReport() {
            assertThat(TestHttp.call("POST", engine.baseUrl() + "/faults/leave", "")
                            .status())
                    .isEqualTo(204);

            awaitTrue(() ->
                    TestHttp.call("GET", engine.baseUrl() + "/load", "").text().contains("\"leaving\":true"));
        }

        @Test
        void faultsCanBeSetOverHttp() {
            Reply reply = TestHttp.call("POST", engine.baseUrl() + "/faults", "{\"duplicateEvery\":1}");

            assertThat(reply.status()).isEqualTo(204);
            assertThat(ids(stream(body("hello", 2, true), "r1")))
                    .containsExactly(0, 0, 1, 1)
                    .inOrder();
        }
    }

    @Nested
    final class Orders {
        private static final String LOAD =
                "{\"orderId\":\"%s\",\"fencing\":%d,\"action\":\"load\",\"model\":\"m2\",\"version\":\"1\"}";

        @Test
        void staleFencingTokenIsRejected() {
            assertThat(order("o1", 7).status()).isEqualTo(200);

            Reply stale = order("o2", 6);

            assertThat(stale.status()).isEqualTo(409);
            assertThat(stale.text()).contains("STALE_FENCING");
            assertThat(engine.orders()).hasSize(1);
        }

        @Test
        void engineThatIgnoresFencingAcceptsStaleTokens() {
            try (EngineServer ignoring = new EngineServer(
                    EngineConfig.builder("engine-2").checksFencing(false).build())) {
                String url = ignoring.baseUrl() + "/orders";
                TestHttp.call("POST", url, LOAD.formatted("o1", 7));

                assertThat(TestHttp.call("POST", url, LOAD.formatted("o2", 6)).status())
                        .isEqualTo(202);
                assertThat(ignoring.orders()).hasSize(2);
            }
        }

        @Test
        void repeatedOrderIsAcceptedOnce() {
            order("o1", 7);

            assertThat(order("o1", 7).status()).isEqualTo(200);
            assertThat(engine.orders()).hasSize(1);
        }

        private Reply order(String id, int fencing) {
            return TestHttp.call("POST", engine.baseUrl() + "/orders", LOAD.formatted(id, fencing));
        }
    }

    private String completions() {
        return engine.baseUrl() + "/v1/chat/completions";
    }

    private String streams(String requestId) {
        return engine.baseUrl() + "/v1/streams/" + requestId;
    }

    private List<String> stream(String body, String requestId) {
        return TestHttp.lines(WAIT_MILLIS, ALL, completions(), body, "X-Request-Id", requestId);
    }

    private static String body(String text, int tokens, boolean stream) {
        return "{\"model\":\"m\",\"stream\":%s,\"max_tokens\":%d,\"messages\":[{\"role\":\"user\",\"content\":\"%s\"}]}"
                .formatted(stream, tokens, text);
    }

    private static String whole(String body) {
        return ResponseText.ofBody(body.getBytes(StandardCharsets.UTF_8)).fullText();
    }

    private static List<Integer> ids(List<String> lines) {
        return lines.stream()
                .filter(line -> line.startsWith("id: "))
                .map(line -> Integer.parseInt(line.substring(4)))
                .toList();
    }

    private static String content(List<String> lines) {
        StringBuilder text = new StringBuilder();
        for (String line : lines) {
            if (line.startsWith("data: {")) {
                text.append(Json.tree(line.substring(6).getBytes(StandardCharsets.UTF_8))
                        .at("/choices/0/delta/content")
                        .asText());
            }
        }
        return text.toString();
    }

    private static void awaitTrue(BooleanSupplier condition) {
        long end = System.nanoTime() + WAIT_MILLIS * 1_000_000L;
        while (System.nanoTime() < end) {
            if (met(condition)) {
                return;
            }
            LockSupport.parkNanos(5_000_000);
        }
        assertWithMessage("condition was not met in time").fail();
    }

    private static boolean met(BooleanSupplier condition) {
        try {
            return condition.getAsBoolean();
        } catch (UncheckedIOException e) {
            return false;
        }
    }
}
