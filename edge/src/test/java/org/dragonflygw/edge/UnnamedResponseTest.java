package org.dragonflygw.edge;

import static com.google.common.truth.Truth.assertThat;
import static org.dragonflygw.edge.EdgeFixture.request;

import java.io.IOException;
import org.dragonflygw.standins.raw.RawEndpoint;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A response without an attempt id, or with two, may belong to another request. What it says must neither reach the caller
 * nor count as a rejection of the request, which may have run.
 */
final class UnnamedResponseTest {
    private static final String[] IDS = {"", "Dragonflygw-Attempt-Id: id1\r\nDragonflygw-Attempt-Id: other\r\n"};

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 500 Internal Server Error\r\n",
                "HTTP/1.1 404 Not Found\r\n",
                "HTTP/1.1 503 Service Unavailable\r\nDragonflygw-Not-Executed: 1\r\n",
                "HTTP/1.1 421 Misdirected Request\r\n",
                "HTTP/1.1 200 OK\r\nDragonflygw-Response-Signature: sig\r\n"
            })
    void isNoAnswer(String head) throws IOException {
        for (String ids : IDS) {
            RawEndpoint.Script script = (h, s, out) -> {
                RawEndpoint.write(out, head + ids + "Content-Length: 5\r\n\r\nother");
                return true;
            };
            try (RawEndpoint a = new RawEndpoint(script);
                    RawEndpoint b = new RawEndpoint(script);
                    EdgeFixture f = new EdgeFixture(a, b)) {
                String text = f.exchange(request("/once/x", "id1"));
                assertThat(text).startsWith("HTTP/1.1 502 ");
                assertThat(text).doesNotContain("other");
                assertThat(a.heads().size() + b.heads().size()).isEqualTo(1);
            }
        }
    }
}
