package org.dragonflygw.daemon.endpoint;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.dragonflygw.core.fleet.Endpoint;
import org.dragonflygw.daemon.RouterFixture;
import org.dragonflygw.standins.raw.RawEndpoint;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Endpoints send broken responses to the daemon; odd ones that are proper must be read. */
final class EndpointResponseTest {
    private static final long SILENCE_MS = 1_000;
    private static final long PAUSE_MS = 100;
    private static final int MAX_BYTES = 1_000_000;

    /** More than the buffers of two sockets hold, so that the rest of the request waits to be written. */
    private static final int UPLOAD_BYTES = 4_194_304;

    private static final String OK = "HTTP/1.1 200 OK\r\n";
    private static final String LENGTH = "Content-Length: 4\r\n";
    private static final String CHUNKS = "Transfer-Encoding: chunked\r\n";

    private static String send(RawEndpoint raw, byte[] body) {
        Endpoint endpoint = RouterFixture.endpoint("e", RouterFixture.PLAIN, raw.port());
        EndpointRequest request = new EndpointRequest("POST", "/x", List.of(), "application/octet-stream", body);
        try (raw;
                EndpointClient client = new EndpointClient(4);
                EndpointExchange exchange = client.send(endpoint, request, SILENCE_MS, SendOptions.FRESH)) {
            return exchange.status() + " " + new String(exchange.readAll("e", MAX_BYTES), StandardCharsets.ISO_8859_1);
        }
    }

    private static String send(String response) {
        RawEndpoint raw = new RawEndpoint((head, s, out) -> {
            RawEndpoint.write(out, response);
            return false;
        });
        return send(raw, new byte[4]);
    }

    private static void assertFails(String response) {
        assertThrows(EndpointException.class, () -> send(response));
    }

    private static boolean resetAfter(String response, Socket connection, OutputStream out) throws IOException {
        RawEndpoint.write(out, response);
        pause();
        connection.setSoLinger(true, 0);
        return false;
    }

    private static void pause() throws IOException {
        try {
            Thread.sleep(PAUSE_MS);
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    /** Guards against a response that is taken for a success, or for another one than the endpoint's. */
    @Nested
    final class ABrokenResponseFails {
        @ParameterizedTest
        @MethodSource("org.dragonflygw.standins.raw.FieldLines#invalid")
        void withAnInvalidField(String line) {
            assertFails(OK + line + "\r\n" + LENGTH + "\r\nfine");
        }

        @ParameterizedTest
        @MethodSource("org.dragonflygw.standins.raw.FieldLines#invalid")
        void withAnInvalidTrailer(String line) {
            assertFails(OK + CHUNKS + "\r\n4\r\nfine\r\n0\r\n" + line + "\r\n\r\n");
        }

        @ParameterizedTest
        @MethodSource("org.dragonflygw.standins.raw.FieldLines#invalid")
        void withAnInvalidFieldInAnInterimHead(String line) {
            assertFails("HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\n" + OK + LENGTH + "\r\nfine");
        }

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "HTTP/1.1 000 OK",
                    "HTTP/1.1 099 OK",
                    "HTTP/1.1 00 OK",
                    "HTTP/1.1 600 OK",
                    "HTTP/1.1 999 OK",
                    "HTTP/1.1 0200 OK",
                    "HTTP/1.1 20x OK",
                    "HTTP/1.1 -20 OK",
                    "HTTP/1.1 +200 OK",
                    "HTTP/1.1 2 00 OK",
                    "HTTP/2.0 200 OK",
                    "ICY 200 OK"
                })
        void withAnInvalidStatusLine(String statusLine) {
            assertFails(statusLine + "\r\n" + LENGTH + "\r\nfine");
        }

        @ParameterizedTest
        @ValueSource(strings = {"X-A: \u0001", "Content-Length: +4", "Content-Length: 4\r\nContent-Length: 5"})
        void withAnInvalidValue(String lines) {
            assertFails(OK + lines + "\r\n\r\nfine");
        }

        @ParameterizedTest
        @ValueSource(strings = {"x\r\nfine", "4\r\nfineandmore", "4\r\nfi", "-4\r\nfine"})
        void withInvalidChunks(String chunks) {
            assertFails(OK + CHUNKS + "\r\n" + chunks);
        }

        @Test
        void whenItIsShorterThanItsLength() {
            assertFails(OK + LENGTH + "\r\nfin");
        }

        @ParameterizedTest
        @ValueSource(strings = {"", "fi"})
        void whenItHasNoLengthAndIsReset(String body) {
            RawEndpoint raw = new RawEndpoint((head, s, out) -> resetAfter(OK + "\r\n" + body, s, out));
            assertThrows(EndpointException.class, () -> send(raw, new byte[4]));
        }

        @ParameterizedTest
        @ValueSource(strings = {"", "fi"})
        void whenItHasNoLengthAndIsResetDuringTheUpload(String body) {
            RawEndpoint raw = RawEndpoint.answeringEarly((head, s, out) -> resetAfter(OK + "\r\n" + body, s, out));
            assertThrows(EndpointException.class, () -> send(raw, new byte[UPLOAD_BYTES]));
        }
    }

    @Nested
    final class AProperResponseIsRead {
        @ParameterizedTest
        @MethodSource("org.dragonflygw.standins.raw.FieldLines#valid")
        void withAnOddField(String line) {
            assertThat(send(OK + line + "\r\n" + LENGTH + "\r\nfine")).isEqualTo("200 fine");
        }

        @ParameterizedTest
        @ValueSource(strings = {"HTTP/1.1 200", "HTTP/1.1 200 ", "HTTP/1.0 200 OK"})
        void withAnOddStatusLine(String statusLine) {
            assertThat(send(statusLine + "\r\n" + LENGTH + "\r\nfine")).isEqualTo("200 fine");
        }

        @Test
        void inChunksWithExtensionsAndATrailer() {
            assertThat(send(OK + CHUNKS + "\r\n2;a=b\r\nfi\r\n2\r\nne\r\n0\r\nX-After: 1\r\n\r\n"))
                    .isEqualTo("200 fine");
        }

        @Test
        void whenItEndsWithItsConnection() {
            assertThat(send(OK + "\r\nfine")).isEqualTo("200 fine");
        }

        @ParameterizedTest
        @ValueSource(ints = {100, 102, 103})
        void afterAnInterimOne(int status) {
            assertThat(send("HTTP/1.1 " + status + " Interim\r\nX-Early: 1\r\n\r\n" + OK + LENGTH + "\r\nfine"))
                    .isEqualTo("200 fine");
        }
    }

    /** Guards against a response that is taken, in part or whole, for the response to the next request. */
    @Nested
    final class TheNextRequest {
        private static final String FINE = OK + LENGTH + "\r\nfine";
        private static final String COPY = OK + LENGTH + "\r\ncopy";

        private String secondOfTwo(RawEndpoint.Script first) throws Exception {
            AtomicInteger requests = new AtomicInteger();
            CountDownLatch written = new CountDownLatch(1);
            try (RawEndpoint raw = new RawEndpoint((head, s, out) -> {
                        if (requests.incrementAndGet() == 1) {
                            boolean keep = first.answer(head, s, out);
                            written.countDown();
                            return keep;
                        }
                        RawEndpoint.write(out, FINE);
                        return true;
                    });
                    EndpointClient client = new EndpointClient(4)) {
                send(client, raw);
                written.await();
                pause();
                return send(client, raw);
            }
        }

        private String send(EndpointClient client, RawEndpoint raw) {
            Endpoint endpoint = RouterFixture.endpoint("e", RouterFixture.PLAIN, raw.port());
            EndpointRequest request = EndpointRequest.withoutBody("GET", "/x", List.of());
            try (EndpointExchange exchange = client.send(endpoint, request, SILENCE_MS, SendOptions.REUSE)) {
                return new String(exchange.readAll("e", MAX_BYTES), StandardCharsets.ISO_8859_1);
            }
        }

        @ParameterizedTest
        @ValueSource(ints = {1, 17, 40, 42})
        void isNotAnsweredByBytesThatCameWithTheFirstResponse(int bytes) throws Exception {
            String text = secondOfTwo((head, s, out) -> {
                RawEndpoint.write(out, FINE + COPY.substring(0, bytes));
                return true;
            });
            assertThat(text).isEqualTo("fine");
        }

        @ParameterizedTest
        @ValueSource(ints = {1, 17, 40, 42})
        void isNotAnsweredByBytesThatCameBetween(int bytes) throws Exception {
            String text = secondOfTwo((head, s, out) -> {
                RawEndpoint.write(out, FINE);
                pause();
                RawEndpoint.write(out, COPY.substring(0, bytes));
                return true;
            });
            assertThat(text).isEqualTo("fine");
        }

        @Test
        void isSentOnTheSameConnectionAfterAWholeResponse() throws Exception {
            AtomicReference<Socket> connection = new AtomicReference<>();
            AtomicInteger connections = new AtomicInteger();
            try (RawEndpoint raw = new RawEndpoint((head, s, out) -> {
                        if (connection.getAndSet(s) != s) {
                            connections.incrementAndGet();
                        }
                        RawEndpoint.write(out, FINE);
                        return true;
                    });
                    EndpointClient client = new EndpointClient(4)) {
                assertThat(send(client, raw)).isEqualTo("fine");
                assertThat(send(client, raw)).isEqualTo("fine");
                assertThat(connections.get()).isEqualTo(1);
            }
        }
    }
}
