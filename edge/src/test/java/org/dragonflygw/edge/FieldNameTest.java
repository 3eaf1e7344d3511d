package org.dragonflygw.edge;

import static com.google.common.truth.Truth.assertThat;
import static org.dragonflygw.edge.EdgeFixture.request;

import java.io.IOException;
import org.dragonflygw.standins.raw.RawEndpoint;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The name of a field in an endpoint's response is a token: a response with another name is malformed. */
final class FieldNameTest {
    private static final String BODY = "fine";
    private static final String LENGTH = "Content-Length: 4\r\n";
    private static final String CHUNKS = "Transfer-Encoding: chunked\r\n";

    private static String exchange(String path, RawEndpoint.Script script) throws IOException {
        try (RawEndpoint e = new RawEndpoint(script);
                EdgeFixture f = new EdgeFixture(e)) {
            return f.exchange(request(path, "id1"));
        }
    }

    private static String exchange(String response) throws IOException {
        return exchange("/once/x", (head, s, out) -> {
            RawEndpoint.write(out, response.replace("SIGNED", DataPlaneTest.signatureHeaders(head)));
            return false;
        });
    }

    /** Guards against a response that reaches its caller with a changed field, or with a body that is not the endpoint's. */
    @Nested
    final class AnInvalidName {
        @ParameterizedTest
        @MethodSource("org.dragonflygw.standins.raw.FieldLines#invalid")
        void beforeAllFields(String line) throws IOException {
            assertThat(exchange("HTTP/1.1 200 OK\r\n" + line + "\r\nSIGNED" + LENGTH + "\r\n" + BODY))
                    .startsWith("HTTP/1.1 502 ");
        }

        @ParameterizedTest
        @MethodSource("org.dragonflygw.standins.raw.FieldLines#invalid")
        void afterAllFields(String line) throws IOException {
            assertThat(exchange("HTTP/1.1 200 OK\r\nSIGNED" + LENGTH + line + "\r\n\r\n" + BODY))
                    .startsWith("HTTP/1.1 502 ");
        }

        @ParameterizedTest
        @MethodSource("org.dragonflygw.standins.raw.FieldLines#invalid")
        void withoutALength(String line) throws IOException {
            assertThat(exchange("HTTP/1.1 200 OK\r\n" + line + "\r\nSIGNED\r\n" + BODY))
                    .startsWith("HTTP/1.1 502 ");
        }

        @ParameterizedTest
        @MethodSource("org.dragonflygw.standins.raw.FieldLines#invalid")
        void inAFailure(String line) throws IOException {
            assertThat(exchange("HTTP/1.1 404 Not Found\r\nSIGNED" + LENGTH + line + "\r\n\r\n" + BODY))
                    .startsWith("HTTP/1.1 502 ");
        }

        @ParameterizedTest
        @MethodSource("org.dragonflygw.standins.raw.FieldLines#invalid")
        void inAnInterimResponse(String line) throws IOException {
            assertThat(exchange("HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\nHTTP/1.1 200 OK\r\nSIGNED" + LENGTH
                            + "\r\n" + BODY))
                    .startsWith("HTTP/1.1 502 ");
        }

        @ParameterizedTest
        @MethodSource("org.dragonflygw.standins.raw.FieldLines#invalid")
        void inATrailer(String line) throws IOException {
            assertThat(exchange("HTTP/1.1 200 OK\r\nSIGNED" + CHUNKS + "\r\n4\r\n" + BODY + "\r\n0\r\n" + line
                            + "\r\n\r\n"))
                    .startsWith("HTTP/1.1 502 ");
        }

        /** A stream is forwarded as it comes: its caller has the events, and must be able to tell that it broke off. */
        @Test
        void inATrailerOfAStream() throws IOException {
            String event = "id: 1\ndata: one\n\n";
            String text = exchange("/stream/x", (head, s, out) -> {
                RawEndpoint.write(
                        out,
                        "HTTP/1.1 200 OK\r\n" + DataPlaneTest.signatureHeaders(head) + CHUNKS + "\r\n"
                                + Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
                RawEndpoint.write(out, "0\r\nX Bad: v\r\n\r\n");
                return false;
            });
            assertThat(text).doesNotContain("0\r\n\r\n");
        }
    }

    /** Guards against a line that begins with a blank and changes the value of the field before it, such as the signature. */
    @Nested
    final class AFoldedLine {
        @ParameterizedTest
        @ValueSource(strings = {" X-Bad: v", "\tX-Bad: v", " more", "  ", " HTTP/1.1 200 OK"})
        void afterTheSignature(String line) throws IOException {
            assertThat(exchange("HTTP/1.1 200 OK\r\n" + LENGTH + "SIGNED" + line + "\r\n\r\n" + BODY))
                    .startsWith("HTTP/1.1 502 ");
        }

        @ParameterizedTest
        @ValueSource(strings = {" X-Bad: v", "\tX-Bad: v", " more"})
        void inAnInterimResponse(String line) throws IOException {
            assertThat(exchange("HTTP/1.1 103 Early Hints\r\nX-Early: 1\r\n" + line + "\r\n\r\n"
                            + "HTTP/1.1 200 OK\r\nSIGNED" + LENGTH + "\r\n" + BODY))
                    .startsWith("HTTP/1.1 502 ");
        }
    }

    /** Bytes of a body are no lines of a head, wherever they begin. */
    @Nested
    final class ABlankInABody {
        private static final String TEXT = "one\r\n two\r\n\tthree\n four";

        private void assertPasses(String fields, String body) throws IOException {
            String text = exchange("HTTP/1.1 200 OK\r\nSIGNED" + fields + "\r\n" + body);
            assertThat(text).startsWith("HTTP/1.1 200 ");
            assertThat(text).contains(TEXT);
        }

        @Test
        void withALength() throws IOException {
            assertPasses("Content-Length: " + TEXT.length() + "\r\n", TEXT);
        }

        @Test
        void withoutALength() throws IOException {
            assertPasses("", TEXT);
        }

        @Test
        void inChunks() throws IOException {
            assertPasses(CHUNKS, Integer.toHexString(TEXT.length()) + "\r\n" + TEXT + "\r\n0\r\n\r\n");
        }
    }

    @Nested
    final class AValidField {
        @ParameterizedTest
        @MethodSource("org.dragonflygw.standins.raw.FieldLines#valid")
        void inAHead(String line) throws IOException {
            String text = exchange("HTTP/1.1 200 OK\r\nSIGNED" + LENGTH + line + "\r\n\r\n" + BODY);
            assertThat(text).startsWith("HTTP/1.1 200 ");
            assertThat(text).endsWith(BODY);
            assertThat(text).contains("\r\n" + line.substring(0, line.indexOf(':') + 1));
        }

        @ParameterizedTest
        @MethodSource("org.dragonflygw.standins.raw.FieldLines#valid")
        void inAnInterimResponse(String line) throws IOException {
            String text = exchange("HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\nHTTP/1.1 200 OK\r\nSIGNED" + LENGTH
                    + "\r\n" + BODY);
            assertThat(text).startsWith("HTTP/1.1 200 ");
            assertThat(text).endsWith(BODY);
        }

        @ParameterizedTest
        @MethodSource("org.dragonflygw.standins.raw.FieldLines#valid")
        void inATrailer(String line) throws IOException {
            String text = exchange("HTTP/1.1 200 OK\r\nSIGNED" + CHUNKS + "\r\n4;name=value\r\n" + BODY + "\r\n0\r\n"
                    + line + "\r\n\r\n");
            assertThat(text).startsWith("HTTP/1.1 200 ");
            assertThat(text).contains(BODY);
        }

        @ParameterizedTest
        @ValueSource(strings = {"HTTP/1.1 200", "HTTP/1.1 200 ", "HTTP/1.0 200 OK", "HTTP/1.1 299 Odd"})
        void afterAnUnusualStatusLine(String statusLine) throws IOException {
            String text = exchange(statusLine + "\r\nSIGNED" + LENGTH + "\r\n" + BODY);
            assertThat(text).startsWith("HTTP/1.1 2");
            assertThat(text).endsWith(BODY);
        }
    }
}
