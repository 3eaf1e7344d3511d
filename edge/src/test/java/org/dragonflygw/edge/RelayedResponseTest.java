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

/** A request is passed to another host; what comes back is read as strictly as the response of an endpoint. */
final class RelayedResponseTest {
    private static final String LENGTH = "Content-Length: 4\r\n";
    private static final String BODY = "fine";

    /** Sends a request to a host and returns the response. */
    private interface Exchange {
        String run(EdgeFixture host) throws IOException;
    }

    /** Sends a request, by a host that reaches no endpoint, to another host with the given script. */
    private static String relay(RawEndpoint otherHost, Exchange exchange) throws Exception {
        try (otherHost;
                EdgeFixture cut = new EdgeFixture(LostPathsTest.refusing(), LostPathsTest.refusing())) {
            LostPathsTest.awaitLost(cut);
            cut.addHost("b", otherHost.port());
            return exchange.run(cut);
        }
    }

    private static String relay(String response) throws Exception {
        RawEndpoint host = new RawEndpoint((head, s, out) -> {
            RawEndpoint.write(out, response.replace("SIGNED", DataPlaneTest.signatureHeaders(head)));
            return false;
        });
        return relay(host, cut -> cut.exchange(request("/once/x", "id1")));
    }

    @Nested
    final class ABrokenResponse {
        /** Guards against a response that was cut by a reset and reaches its caller as a complete success. */
        @Test
        void thatIsResetDuringTheUploadIsIncomplete() throws Exception {
            RawEndpoint host = RawEndpoint.answeringEarly((head, s, out) -> {
                RawEndpoint.write(out, "HTTP/1.1 200 OK\r\n" + DataPlaneTest.signatureHeaders(head) + "\r\nbegun");
                ResetDuringUploadTest.reset(s);
                return false;
            });
            String text = relay(host, cut -> ResetDuringUploadTest.upload(cut, "/once/x"));
            assertThat(text).doesNotContain("0\r\n\r\n");
        }

        /** Guards against a response that reaches its caller with a changed field, or with another body. */
        @ParameterizedTest
        @MethodSource("org.dragonflygw.standins.raw.FieldLines#invalid")
        void withAnInvalidFieldIsRefused(String line) throws Exception {
            assertThat(relay("HTTP/1.1 200 OK\r\nSIGNED" + line + "\r\n" + LENGTH + "\r\n" + BODY))
                    .startsWith("HTTP/1.1 502 ");
        }

        @ParameterizedTest
        @ValueSource(strings = {"X Bad: v", "X-Bad : v", "X\u0001Bad: v"})
        void withAnInvalidFieldInAnInterimHeadIsRefused(String line) throws Exception {
            assertThat(relay("HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\nHTTP/1.1 200 OK\r\nSIGNED" + LENGTH
                            + "\r\n" + BODY))
                    .startsWith("HTTP/1.1 502 ");
        }

        @ParameterizedTest
        @ValueSource(strings = {"X Bad: v", "X-Bad : v", "X\u0001Bad: v"})
        void withAnInvalidTrailerIsIncomplete(String line) throws Exception {
            String text = relay("HTTP/1.1 200 OK\r\nSIGNEDTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n" + line
                    + "\r\n\r\n");
            assertThat(text).doesNotContain("0\r\n\r\n");
        }

        /** Guards against a status that no endpoint can have given. */
        @ParameterizedTest
        @ValueSource(
                strings = {"HTTP/1.1 000 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK", "HTTP/1.1 0200 OK", "ICY 200 OK"})
        void withAnInvalidStatusLineIsRefused(String statusLine) throws Exception {
            assertThat(relay(statusLine + "\r\nSIGNED" + LENGTH + "\r\n" + BODY))
                    .startsWith("HTTP/1.1 502 ");
        }

        @Test
        void ofSwitchedProtocolsIsRefused() throws Exception {
            assertThat(relay("HTTP/1.1 101 Switching Protocols\r\nSIGNED\r\n")).startsWith("HTTP/1.1 502 ");
        }
    }

    @Nested
    final class AProperResponse {
        @ParameterizedTest
        @MethodSource("org.dragonflygw.standins.raw.FieldLines#valid")
        void withAnOddFieldPasses(String line) throws Exception {
            String text = relay("HTTP/1.1 200 OK\r\nSIGNED" + line + "\r\n" + LENGTH + "\r\n" + BODY);
            assertThat(text).startsWith("HTTP/1.1 200 ");
            assertThat(text).endsWith(BODY);
        }

        @ParameterizedTest
        @ValueSource(strings = {"HTTP/1.1 200 ", "HTTP/1.0 200 OK", "HTTP/1.1 299 Odd"})
        void withAnOddStatusLinePasses(String statusLine) throws Exception {
            assertThat(relay(statusLine + "\r\nSIGNED" + LENGTH + "\r\n" + BODY))
                    .endsWith(BODY);
        }

        @Test
        void afterAnInterimOnePasses() throws Exception {
            String text = relay(
                    "HTTP/1.1 103 Early Hints\r\nX-Early: 1\r\n\r\nHTTP/1.1 200 OK\r\nSIGNED" + LENGTH + "\r\n" + BODY);
            assertThat(text).startsWith("HTTP/1.1 200 ");
            assertThat(text).endsWith(BODY);
        }

        /** The response to a HEAD request has no body, whatever length it declares. */
        @Test
        void ofAHeadRequestPasses() throws Exception {
            RawEndpoint host = new RawEndpoint((head, s, out) -> {
                RawEndpoint.write(out, "HTTP/1.1 200 OK\r\n" + DataPlaneTest.signatureHeaders(head) + LENGTH + "\r\n");
                return head.startsWith("HEAD ");
            });
            String head =
                    request("/once/x", "id1").replace("POST", "HEAD").replace("Content-Length: 4\r\n\r\nbody", "\r\n");
            assertThat(relay(host, cut -> cut.exchange(head))).startsWith("HTTP/1.1 200 ");
        }

        @Test
        void thatEndsWithItsConnectionPasses() throws Exception {
            String text = relay("HTTP/1.1 200 OK\r\nSIGNED\r\n" + BODY);
            assertThat(text).contains(BODY);
            assertThat(text).endsWith("0\r\n\r\n");
        }

        @Test
        void thatEndsInOrderBeforeTheUploadIsReadPasses() throws Exception {
            RawEndpoint host = RawEndpoint.answeringEarly((head, s, out) -> {
                RawEndpoint.write(out, "HTTP/1.1 200 OK\r\n" + DataPlaneTest.signatureHeaders(head) + "\r\n" + BODY);
                s.shutdownOutput();
                s.getInputStream().skipNBytes(RawEndpoint.contentLength(head));
                return false;
            });
            String text = relay(host, cut -> ResetDuringUploadTest.upload(cut, "/once/x"));
            assertThat(text).contains(BODY);
            assertThat(text).endsWith("0\r\n\r\n");
        }
    }
}
