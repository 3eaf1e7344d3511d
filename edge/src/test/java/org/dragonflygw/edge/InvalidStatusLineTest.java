package org.dragonflygw.edge;

import static com.google.common.truth.Truth.assertThat;
import static org.dragonflygw.edge.EdgeFixture.request;

import java.io.IOException;
import org.dragonflygw.standins.raw.RawEndpoint;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** An endpoint sends bytes whose first line is no status line. No caller may get them as a response. */
final class InvalidStatusLineTest {
    private static RawEndpoint endpoint(String statusLine) {
        return new RawEndpoint((head, s, out) -> {
            RawEndpoint.write(out, DataPlaneTest.answer(head, "fine").replace("HTTP/1.1 200 OK", statusLine));
            return true;
        });
    }

    /** Guards against a status without three digits, or outside of HTTP's range, that is forwarded to the caller. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 7 ",
                "HTTP/1.1 000 OK",
                "HTTP/1.1 099 OK",
                "HTTP/1.1 001 OK",
                "HTTP/1.1 00 OK",
                "HTTP/1.1 20x OK",
                "HTTP/1.1 -20 OK",
                "HTTP/1.1 2 00 OK",
                "HTTP/1.1 \u0660\u0660\u0660 OK",
                "HTTP/1.1 0 OK",
                "HTTP/1.1 02 OK",
                "HTTP/1.1 020 OK",
                "HTTP/1.1 600 OK",
                "HTTP/1.1 999 OK",
                "HTTP/1.1 2000 OK",
                "HTTP/1.1 99999 OK",
                "HTTP/1.1 0200 OK",
                "HTTP/1.1 +200 OK",
                "HTTP/1.1 -200 OK",
                "HTTP/1.1 2O0 OK",
                "HTTP/1.1 \u0662\u0660\u0660 OK",
                "HTTP/1.1",
                "200 OK"
            })
    void withAnInvalidStatus(String statusLine) throws IOException {
        assertIsNoResponse(statusLine);
    }

    /** Guards against bytes before the status line, or another protocol, that are taken for HTTP/1. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "xHTTP/1.1 200 OK",
                "HHTTP/1.1 200 OK",
                "HTTP/1.HTTP/1.1 200 OK",
                "TTP/1.1 200 OK",
                "HTTP/1.12 200 OK",
                "HTTP/2.0 200 OK",
                "http/1.1 200 OK",
                "ICY 200 OK"
            })
    void withAnInvalidVersion(String statusLine) throws IOException {
        assertIsNoResponse(statusLine);
    }

    private static void assertIsNoResponse(String statusLine) throws IOException {
        try (RawEndpoint e = endpoint(statusLine);
                EdgeFixture f = new EdgeFixture(e)) {
            assertThat(f.exchange(request("/once/x", "id1"))).startsWith("HTTP/1.1 502 ");
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200 OK", "HTTP/1.1 200 ", "HTTP/1.0 200 OK", "HTTP/1.1 207 Multi-Status"})
    void thatIsValidIsAccepted(String statusLine) throws IOException {
        try (RawEndpoint e = endpoint(statusLine);
                EdgeFixture f = new EdgeFixture(e)) {
            assertThat(f.exchange(request("/once/x", "id1")))
                    .startsWith("HTTP/1.1 " + statusLine.substring("HTTP/1.1 ".length(), "HTTP/1.1 200".length()));
        }
    }
}
