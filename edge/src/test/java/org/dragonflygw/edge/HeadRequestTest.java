package org.dragonflygw.edge;

import static com.google.common.truth.Truth.assertThat;
import static org.dragonflygw.edge.EdgeFixture.request;

import java.io.IOException;
import java.net.Socket;
import org.dragonflygw.standins.raw.RawEndpoint;
import org.junit.jupiter.api.Test;

/** The response to a HEAD request has no body, whatever length it declares; the next response begins right after it. */
final class HeadRequestTest {
    private static final int REQUESTS = 3;

    private static String head(String path, String id) {
        return request(path, id).replace("POST", "HEAD").replace("Content-Length: 4\r\n\r\nbody", "\r\n");
    }

    /** Guards against waiting for a body that never comes. */
    @Test
    void isForwardedWithoutABody() throws IOException {
        try (RawEndpoint e = new RawEndpoint((head, s, out) -> {
                    String answer = DataPlaneTest.answer(head, "body");
                    RawEndpoint.write(
                            out, head.startsWith("HEAD") ? answer.replace("\r\n\r\nbody", "\r\n\r\n") : answer);
                    return true;
                });
                EdgeFixture f = new EdgeFixture(e);
                Socket c = f.connect()) {
            for (int i = 0; i < REQUESTS; i++) {
                EdgeFixture.send(c, head("/again/x", "head" + i));
                String text = EdgeFixture.readUntil(c, "\r\n\r\n");
                assertThat(text).startsWith("HTTP/1.1 200 OK");
                assertThat(text).contains("head" + i);
                EdgeFixture.send(c, request("/again/x", "post" + i));
                assertThat(EdgeFixture.readUntil(c, "body")).startsWith("HTTP/1.1 200 OK");
            }
        }
    }

    /** Guards against the body of a refusal, which the caller would take for the beginning of the next response. */
    @Test
    void isRefusedWithoutABody() throws IOException {
        try (EdgeFixture f = new EdgeFixture();
                Socket c = f.connect()) {
            for (int i = 0; i < REQUESTS; i++) {
                EdgeFixture.send(c, head("/again/x", "head" + i));
                assertThat(EdgeFixture.readUntil(c, "\r\n\r\n")).startsWith("HTTP/1.1 503");
                EdgeFixture.send(c, request("/again/x", "post" + i));
                assertThat(EdgeFixture.readUntil(c, "}")).startsWith("HTTP/1.1 503");
            }
        }
    }
}
