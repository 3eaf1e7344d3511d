package org.dragonflygw.edge;

import static com.google.common.truth.Truth.assertThat;
import static org.dragonflygw.edge.EdgeFixture.request;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.dragonflygw.standins.raw.RawEndpoint;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Responses that break off halfway and that the router has begun to forward, because they are long or streams. The caller
 * must be able to tell: a missing last chunk, a body shorter than its length, or a reset where the connection ends the body.
 */
final class BrokenOffResponseTest {
    /** More than a router holds before it forwards a response. */
    private static final int LONG_BYTES = 200_000;

    private static final String LAST_CHUNK = "0\r\n\r\n";
    private static final String EVENT = "id: 1\ndata: one\n\n";

    private static String head(String requestHead) {
        return "HTTP/1.1 200 OK\r\n" + DataPlaneTest.signatureHeaders(requestHead);
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private static String exchange(String path, boolean reset, String fieldsAndBody) throws IOException {
        try (RawEndpoint e = new RawEndpoint((head, s, out) -> {
                    RawEndpoint.write(out, head(head) + fieldsAndBody);
                    if (reset) {
                        s.setSoLinger(true, 0);
                    }
                    return false;
                });
                EdgeFixture f = new EdgeFixture(e)) {
            return f.exchange(request(path, "id1"));
        }
    }

    private static String exchangeOrReset(String path, boolean reset, String fieldsAndBody) throws IOException {
        try {
            return exchange(path, reset, fieldsAndBody);
        } catch (IOException e) {
            return "reset";
        }
    }

    private static void assertIncomplete(String text, int declaredBytes) {
        int body = text.indexOf("\r\n\r\n") + 4;
        boolean complete = text.startsWith("HTTP/1.1 200")
                && (text.contains("ransfer-") ? text.endsWith(LAST_CHUNK) : text.length() - body >= declaredBytes);
        assertThat(complete).isFalse();
    }

    @ParameterizedTest
    @CsvSource({"/once/x, false", "/once/x, true", "/again/x, false", "/stream/x, false", "/stream/x, true"})
    void withALength(String path, boolean reset) throws IOException {
        String body = EVENT.repeat(LONG_BYTES / EVENT.length());
        String text = exchangeOrReset(path, reset, "Content-Length: " + (2 * body.length()) + "\r\n\r\n" + body);
        assertIncomplete(text, 2 * body.length());
    }

    @ParameterizedTest
    @CsvSource({
        "/once/x, false",
        "/once/x, true",
        "/again/x, false",
        "/stream/x, false",
        "/stream/x, true",
        "/resume/x, false"
    })
    void inChunks(String path, boolean reset) throws IOException {
        String text = exchangeOrReset(
                path,
                reset,
                "Transfer-Encoding: chunked\r\n\r\n"
                        + chunk(EVENT.replace("1", "0"))
                                .repeat(path.startsWith("/resume") ? 1 : LONG_BYTES / EVENT.length())
                        + "5\r\nid");
        assertIncomplete(text, Integer.MAX_VALUE);
    }

    @Test
    void heldInChunks() throws IOException {
        String text = exchange("/once/x", false, "Transfer-Encoding: chunked\r\n\r\n" + chunk("fine"));
        assertThat(text).startsWith("HTTP/1.1 502");
    }

    @Test
    void longAndEndedByAReset() throws IOException {
        String text = exchangeOrReset("/once/x", true, "\r\n" + "x".repeat(LONG_BYTES));
        assertIncomplete(text, Integer.MAX_VALUE);
    }

    /** A caller of HTTP/1.0 knows no chunks: only a reset tells that the body is not whole. */
    @Test
    void toACallerWithoutChunks() throws IOException {
        try (RawEndpoint e = new RawEndpoint((head, s, out) -> {
                    RawEndpoint.write(out, head(head) + "Transfer-Encoding: chunked\r\n\r\n" + chunk(EVENT));
                    return false;
                });
                EdgeFixture f = new EdgeFixture(e);
                Socket c = f.connect()) {
            EdgeFixture.send(c, request("/stream/x", "id1").replace("HTTP/1.1", "HTTP/1.0"));
            assertThat(endsProperly(c)).isFalse();
        }
    }

    private static boolean endsProperly(Socket c) {
        try {
            InputStream in = c.getInputStream();
            String text = new String(in.readAllBytes(), StandardCharsets.ISO_8859_1);
            return text.startsWith("HTTP/1.1 200") || text.startsWith("HTTP/1.0 200");
        } catch (IOException e) {
            return false;
        }
    }
}
