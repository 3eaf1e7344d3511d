package org.dragonflygw.edge;

import static com.google.common.truth.Truth.assertThat;
import static org.dragonflygw.edge.EdgeFixture.request;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;
import org.dragonflygw.standins.raw.RawEndpoint;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A second copy of a response arrives on a connection on which the next request is open. No caller may get the response
 * to another request.
 */
final class LateCopyTest {
    private static final int REQUESTS = 4;

    private static String answer(String head, String body) {
        return DataPlaneTest.answer(head, body);
    }

    private static String chunked(String head, String body) {
        return "HTTP/1.1 200 OK\r\n" + DataPlaneTest.signatureHeaders(head) + "Transfer-Encoding: chunked\r\n\r\n"
                + Integer.toHexString(body.length()) + "\r\n" + body + "\r\n0\r\n\r\n";
    }

    private static void pause() throws IOException {
        try {
            Thread.sleep(30);
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    /** Writes in pieces, the last of which arrive a moment later. */
    private static void writeInPieces(OutputStream out, String text, int pieces) throws IOException {
        int size = Math.max(1, text.length() / pieces);
        for (int at = 0; at < text.length(); at += size) {
            RawEndpoint.write(out, text.substring(at, Math.min(text.length(), at + size)));
            pause();
        }
    }

    private static void checkEveryCallerGetsItsOwn(RawEndpoint.Script script, String path) throws IOException {
        try (RawEndpoint e = new RawEndpoint(script);
                EdgeFixture f = new EdgeFixture(e);
                Socket c = f.connect()) {
            for (int i = 0; i < REQUESTS; i++) {
                EdgeFixture.send(c, request(path, "id" + i));
                String text = EdgeFixture.readUntil(c, "end-");
                assertThat(text).contains("Dragonflygw-Attempt-Id: id" + i);
                assertThat(text).contains("body-id" + i);
                EdgeFixture.readUntil(c, "!");
            }
        }
    }

    private static String bodyOf(String head) {
        int at = head.indexOf("Dragonflygw-Attempt-Id: ") + "Dragonflygw-Attempt-Id: ".length();
        return "body-" + head.substring(at, head.indexOf('\r', at)) + " end-!";
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 7})
    void ofAPlainResponseIsSkipped(int pieces) throws IOException {
        AtomicReference<String> earlier = new AtomicReference<>("");
        checkEveryCallerGetsItsOwn(
                (head, s, out) -> {
                    writeInPieces(out, earlier.get(), pieces);
                    String own = answer(head, bodyOf(head));
                    RawEndpoint.write(out, own);
                    earlier.set(own);
                    return true;
                },
                "/once/x");
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 7})
    void inChunksIsSkipped(int pieces) throws IOException {
        AtomicReference<String> earlier = new AtomicReference<>("");
        checkEveryCallerGetsItsOwn(
                (head, s, out) -> {
                    writeInPieces(out, earlier.get(), pieces);
                    String own = chunked(head, bodyOf(head));
                    RawEndpoint.write(out, own);
                    earlier.set(own);
                    return true;
                },
                "/again/x");
    }

    /** The copy begins while the connection is idle, and goes on when the next request was sent. */
    @Test
    void thatBeginsBeforeTheNextRequestIsSkipped() throws IOException {
        Map<Socket, String> rest = new ConcurrentHashMap<>();
        checkEveryCallerGetsItsOwn(
                (head, s, out) -> {
                    RawEndpoint.write(out, rest.getOrDefault(s, ""));
                    String own = answer(head, bodyOf(head));
                    RawEndpoint.write(out, own);
                    pause();
                    RawEndpoint.write(out, own.substring(0, 40));
                    rest.put(s, own.substring(40));
                    return true;
                },
                "/again/x");
    }

    /** A copy that ends with its connection takes the place of the next response, which is then missing, not wrong. */
    @Test
    void withoutAnEndLeadsToAFailure() throws IOException {
        try (RawEndpoint e = new RawEndpoint((head, s, out) -> {
                    if (head.contains("id1")) {
                        RawEndpoint.write(
                                out,
                                "HTTP/1.1 200 OK\r\nDragonflygw-Attempt-Id: id0\r\n"
                                        + "Dragonflygw-Response-Signature: sig\r\n\r\nbody-id0");
                        return false;
                    }
                    RawEndpoint.write(out, answer(head, "body-id0"));
                    return true;
                });
                EdgeFixture f = new EdgeFixture(e);
                Socket c = f.connect()) {
            EdgeFixture.send(c, request("/once/x", "id0"));
            EdgeFixture.readUntil(c, "body-id0");
            EdgeFixture.send(c, request("/once/x", "id1"));
            String text = EdgeFixture.readUntil(c, "}");
            assertThat(text).startsWith("HTTP/1.1 502");
            assertThat(text).doesNotContain("body-id0");
        }
    }
}
