package org.dragonflygw.daemon;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.collect.Range;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.dragonflygw.daemon.caller.OpenRequests;
import org.dragonflygw.standins.engine.EngineConfig;
import org.dragonflygw.standins.engine.EngineServer;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/**
 * Sends random malformed input to each port. Guards against server errors, crashes, and open requests or threads that
 * remain after the connection was closed.
 */
final class MalformedInputTest {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int ROUNDS = 150;
    private static final int MAX_BYTES = 3_000;
    private static final int READ_TIMEOUT_MILLIS = 100;
    private static final int THREAD_MARGIN = 24;
    private static final int BAD_REQUEST = 400;
    private static final int SERVER_ERROR = 500;
    private static final List<String> STARTS = List.of(
            "",
            "GET ",
            "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nContent-Length: 90\r\n\r\n",
            "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
            "GET /v1/models HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer ",
            "GET /v1/timeline?by=request&limit=",
            "POST /v1/sheet/check HTTP/1.1\r\nHost: a\r\nContent-Length: 50\r\n\r\n",
            "GET /%zz HTTP/1.1\r\nHost: a\r\n\r\n",
            "GET / HTTP/9.9\r\n\r\n");

    private static EngineServer engine;
    private static RouterFixture router;

    private final SplittableRandom random = new SplittableRandom(20261203);

    @BeforeAll
    static void start() {
        engine = new EngineServer(EngineConfig.defaults("engine-1"));
        router = new RouterFixture(RouterFixture.settings());
        router.useEndpoints(RouterFixture.endpoint("engine-1", RouterFixture.MODEL, engine.port()));
    }

    @AfterAll
    static void stop() {
        router.close();
        engine.close();
    }

    @Test
    void rawBytesToCallerPortLeakNothing() throws Exception {
        sendRawBytes(router.application().callerPort());
    }

    @Test
    void rawBytesToOperatorPortLeakNothing() throws Exception {
        sendRawBytes(router.application().operatorPort());
        assertThat(router.operator("/health/live").statusCode()).isEqualTo(200);
    }

    @Test
    void rawFramesToPeerPortLeakNothing() throws Exception {
        int threads = threads();
        for (int i = 0; i < ROUNDS; i++) {
            byte[] body = randomBytes();
            int length = random.nextInt(3) == 0 ? random.nextInt() : body.length;
            ByteBuffer frame = ByteBuffer.allocate(body.length + Integer.BYTES);
            exchange(
                    router.application().peerPort(),
                    frame.putInt(length).put(body).array());
        }
        assertNoLeaks(threads);
    }

    @Test
    void malformedRequestsAreRejectedAsNotRun() throws Exception {
        int executions = engine.executions().size();
        int threads = threads();
        for (int i = 0; i < ROUNDS; i++) {
            HttpResponse<String> response = router.send(malformedRequest());
            assertWithMessage(response.body())
                    .that(response.statusCode())
                    .isIn(Range.closedOpen(BAD_REQUEST, SERVER_ERROR));
            JsonNode error = JSON.readTree(response.body()).path("error");
            assertThat(error.path("code").asText()).isNotEmpty();
            assertThat(error.path("message").asText()).isNotEmpty();
            assertThat(error.path("run").asText()).isEqualTo("not_run");
        }
        assertThat(engine.executions()).hasSize(executions);
        assertNoLeaks(threads);
    }

    private HttpRequest.Builder malformedRequest() {
        String valid =
                "{\"model\":\"" + RouterFixture.MODEL + "\",\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}";
        byte[] body = valid.getBytes(UTF_8);
        return switch (random.nextInt(6)) {
            case 0 -> post(new String(body, 0, random.nextInt(body.length), UTF_8));
            case 1 -> post(new String(randomBytes(), ISO_8859_1));
            case 2 -> post(valid.replace("\"messages\":", "\"messages\":" + random.nextInt() + ",\"other\":"));
            case 3 -> post(valid).header("X-Deadline-Millis", "x" + random.nextInt());
            case 4 -> post(valid).header("X-Non-Idempotent", "true");
            default -> post("[".repeat(1 + random.nextInt(MAX_BYTES)));
        };
    }

    private static HttpRequest.Builder post(String body) {
        return router.call("/v1/chat/completions").POST(HttpRequest.BodyPublishers.ofString(body));
    }

    private void sendRawBytes(int port) throws Exception {
        int threads = threads();
        for (int i = 0; i < ROUNDS; i++) {
            byte[] start = STARTS.get(random.nextInt(STARTS.size())).getBytes(ISO_8859_1);
            byte[] rest = randomBytes();
            byte[] input = ByteBuffer.allocate(start.length + rest.length)
                    .put(start)
                    .put(rest)
                    .array();
            String answer = exchange(port, input);
            if (!answer.isEmpty()) {
                assertThat(answer).startsWith("HTTP/1.1 ");
                assertThat(answer).doesNotContainMatch("HTTP/1.1 (50[0-4]|50[6-9])");
            }
        }
        assertNoLeaks(threads);
    }

    /** Sends bytes, closes the sending side and returns the response, or an empty string on a timeout or reset. */
    private static String exchange(int port, byte[] input) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            socket.getOutputStream().write(input);
            socket.shutdownOutput();
            return new String(socket.getInputStream().readAllBytes(), ISO_8859_1);
        } catch (SocketTimeoutException | SocketException e) {
            return "";
        }
    }

    private byte[] randomBytes() {
        byte[] bytes = new byte[1 + random.nextInt(MAX_BYTES)];
        random.nextBytes(bytes);
        return bytes;
    }

    private static void assertNoLeaks(int threadsBefore) throws Exception {
        OpenRequests open = router.application().injector().getInstance(OpenRequests.class);
        await(() -> open.count() == 0);
        await(() -> threads() <= threadsBefore + THREAD_MARGIN);
        assertThat(open.count()).isEqualTo(0);
        assertThat(threads()).isAtMost(threadsBefore + THREAD_MARGIN);
        assertThat(router.send(router.chat("read this", true, 5)).statusCode()).isEqualTo(200);
    }

    private static int threads() {
        return Thread.getAllStackTraces().size();
    }

    private static void await(BooleanSupplier condition) throws InterruptedException {
        for (int i = 0; i < 100 && !condition.getAsBoolean(); i++) {
            TimeUnit.MILLISECONDS.sleep(50);
        }
    }
}
