package org.dragonflygw.edge;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.dragonflygw.standins.raw.RawEndpoint;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** An endpoint answers while a long request is still being written to it, and its connection ends in some way. */
final class ResetDuringUploadTest {
    /** More than the buffers of two sockets hold, so that the rest of the request waits to be written. */
    private static final int UPLOAD_BYTES = 4_194_304;

    private static final int HELD_BYTES = 400;

    private static final long SETTLING_MS = 200;
    private static final String LAST_CHUNK = "0\r\n\r\n";

    private static String head(String requestHead) {
        return "HTTP/1.1 200 OK\r\n" + DataPlaneTest.signatureHeaders(requestHead);
    }

    private static String unframed(String requestHead, int bodyBytes) {
        return head(requestHead) + "\r\n" + "x".repeat(bodyBytes);
    }

    /** Gives the router time to read what was written, and to fill the buffers with the request. */
    private static void settle() throws IOException {
        try {
            Thread.sleep(SETTLING_MS);
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    static void reset(Socket connection) throws IOException {
        settle();
        connection.setSoLinger(true, 0);
    }

    private static void readBody(String requestHead, Socket connection, int parts) throws IOException {
        connection.getInputStream().skipNBytes(RawEndpoint.contentLength(requestHead) / parts);
    }

    private static String exchange(RawEndpoint endpoint, String path) throws IOException {
        try (endpoint;
                EdgeFixture f = new EdgeFixture(endpoint)) {
            return upload(f, path);
        }
    }

    /** Uploads a long body beside reading the response; returns the response, or as much of it as came before a reset. */
    static String upload(EdgeFixture f, String path) throws IOException {
        try (Socket s = f.connect()) {
            EdgeFixture.send(
                    s,
                    EdgeFixture.request(path, "id1")
                                    .replace("Content-Length: 4\r\n\r\nbody", "Content-Length: " + UPLOAD_BYTES)
                                    .replace("Host: h\r\n", "Host: h\r\nConnection: close\r\n")
                            + "\r\n\r\n");
            s.getOutputStream().write(new byte[UPLOAD_BYTES]);
            return readToEnd(s.getInputStream());
        }
    }

    private static String readToEnd(InputStream in) {
        StringBuilder text = new StringBuilder();
        byte[] buffer = new byte[8_192];
        try {
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                text.append(new String(buffer, 0, count, StandardCharsets.ISO_8859_1));
            }
        } catch (IOException e) {
            text.append("(reset)");
        }
        return text.toString();
    }

    /** Guards against a response that was cut by a reset and reaches its caller as a complete success. */
    @Nested
    final class AResponseWithoutALengthIsIncomplete {
        private void assertIncomplete(RawEndpoint endpoint, String path) throws IOException {
            String text = exchange(endpoint, path);
            if (text.startsWith("HTTP/1.1 200")) {
                assertThat(text).contains("ransfer-");
                assertThat(text).doesNotContain(LAST_CHUNK);
            } else {
                assertThat(text).startsWith("HTTP/1.1 502");
            }
        }

        @ParameterizedTest
        @CsvSource({"/once/x, 400", "/again/x, 400", "/once/x, 200000", "/again/x, 200000"})
        void whenNothingOfTheBodyWasRead(String path, int bytes) throws IOException {
            assertIncomplete(
                    RawEndpoint.answeringEarly((head, s, out) -> {
                        RawEndpoint.write(out, unframed(head, bytes));
                        reset(s);
                        return false;
                    }),
                    path);
        }

        @ParameterizedTest
        @ValueSource(strings = {"/once/x", "/again/x"})
        void whenHalfOfTheBodyWasRead(String path) throws IOException {
            assertIncomplete(
                    RawEndpoint.answeringEarly((head, s, out) -> {
                        RawEndpoint.write(out, unframed(head, HELD_BYTES));
                        readBody(head, s, 2);
                        reset(s);
                        return false;
                    }),
                    path);
        }

        @ParameterizedTest
        @ValueSource(strings = {"/once/x", "/again/x"})
        void whenOnlyItsHeadWasSent(String path) throws IOException {
            assertIncomplete(
                    RawEndpoint.answeringEarly((head, s, out) -> {
                        RawEndpoint.write(out, unframed(head, 0));
                        reset(s);
                        return false;
                    }),
                    path);
        }

        @ParameterizedTest
        @ValueSource(strings = {"/stream/x", "/resume/x"})
        void whenItIsAStream(String path) throws IOException {
            assertIncomplete(
                    RawEndpoint.answeringEarly((head, s, out) -> {
                        RawEndpoint.write(out, unframed(head, 0) + "id: 1\ndata: one\n\n");
                        reset(s);
                        return false;
                    }),
                    path);
        }
    }

    @Nested
    final class AResponseThatEndsInOrderIsWhole {
        private void assertWhole(RawEndpoint.Script script, String path, int bytes) throws IOException {
            String text = exchange(RawEndpoint.answeringEarly(script), path);
            assertThat(text).startsWith("HTTP/1.1 200");
            assertThat(text.chars().filter(c -> c == 'x').count()).isAtLeast(bytes);
            assertThat(text).doesNotContain("(reset)");
            assertThat(text.contains("ransfer-")).isEqualTo(text.endsWith(LAST_CHUNK));
        }

        @ParameterizedTest
        @CsvSource({"/once/x, 400", "/again/x, 400", "/once/x, 200000"})
        void withALength(String path, int bytes) throws IOException {
            assertWhole(
                    (head, s, out) -> {
                        RawEndpoint.write(
                                out, head(head) + "Content-Length: " + bytes + "\r\n\r\n" + "x".repeat(bytes));
                        settle();
                        readBody(head, s, 1);
                        return false;
                    },
                    path,
                    bytes);
        }

        @ParameterizedTest
        @ValueSource(strings = {"/once/x", "/again/x"})
        void inChunks(String path) throws IOException {
            String chunk = Integer.toHexString(HELD_BYTES) + "\r\n" + "x".repeat(HELD_BYTES) + "\r\n";
            assertWhole(
                    (head, s, out) -> {
                        RawEndpoint.write(out, head(head) + "Transfer-Encoding: chunked\r\n\r\n" + chunk + LAST_CHUNK);
                        settle();
                        readBody(head, s, 1);
                        return false;
                    },
                    path,
                    HELD_BYTES);
        }

        @ParameterizedTest
        @CsvSource({"/once/x, 400", "/again/x, 400", "/once/x, 200000"})
        void withoutALengthAfterTheBodyWasRead(String path, int bytes) throws IOException {
            assertWhole(
                    (head, s, out) -> {
                        RawEndpoint.write(out, unframed(head, bytes));
                        settle();
                        readBody(head, s, 1);
                        return false;
                    },
                    path,
                    bytes);
        }

        /** The endpoint ends its side of the connection and goes on reading, as a server does that lingers. */
        @ParameterizedTest
        @CsvSource({"/once/x, 400", "/again/x, 400", "/once/x, 200000"})
        void withoutALengthBeforeTheBodyIsRead(String path, int bytes) throws IOException {
            assertWhole(
                    (head, s, out) -> {
                        RawEndpoint.write(out, unframed(head, bytes));
                        s.shutdownOutput();
                        settle();
                        s.setSoTimeout((int) TimeUnit.SECONDS.toMillis(2));
                        readBody(head, s, 1);
                        return false;
                    },
                    path,
                    bytes);
        }
    }
}
