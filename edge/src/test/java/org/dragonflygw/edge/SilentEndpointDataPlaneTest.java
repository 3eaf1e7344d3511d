package org.dragonflygw.edge;

import static com.google.common.truth.Truth.assertThat;
import static org.dragonflygw.edge.EdgeFixture.request;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.dragonflygw.standins.raw.RawEndpoint;
import org.junit.jupiter.api.Test;

/**
 * An endpoint that falls silent within a stream, beside another one. Guards against giving up its connection before the
 * other one has taken over, and against two connections that both go on afterwards.
 */
final class SilentEndpointDataPlaneTest {
    private static final long SILENCE_MS = 1_300;
    private static final long CLOSE_TIMEOUT_MS = 1_000;
    private static final String LAST_CHUNK = "0\r\n\r\n";

    private final AtomicInteger requests = new AtomicInteger();
    private final CountDownLatch closed = new CountDownLatch(1);

    private static String head(String requestHead) {
        String name = "Dragonflygw-Attempt-Id: ";
        int at = requestHead.indexOf(name);
        String id = requestHead.substring(at, requestHead.indexOf("\r\n", at));
        return "HTTP/1.1 200 OK\r\n" + id
                + "\r\nDragonflygw-Response-Signature: sig\r\nTransfer-Encoding: chunked\r\n\r\n";
    }

    private static String chunk(int event) {
        String text = "id: " + event + "\ndata: x\n\n";
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits until the router has closed the connection. */
    private boolean awaitClose(Socket connection) throws IOException {
        connection.setSoTimeout((int) TimeUnit.SECONDS.toMillis(10));
        if (connection.getInputStream().read() < 0) {
            closed.countDown();
        }
        return false;
    }

    /** Two endpoints, of which the one that gets the request first is the first. */
    private RawEndpoint endpoint(RawEndpoint.Script first, RawEndpoint.Script second) {
        return new RawEndpoint((head, connection, out) ->
                (requests.getAndIncrement() == 0 ? first : second).answer(head, connection, out));
    }

    private boolean beginAndFallSilent(String requestHead, OutputStream out) throws IOException {
        RawEndpoint.write(out, head(requestHead) + chunk(1));
        pause(SILENCE_MS);
        return true;
    }

    private boolean endStream(OutputStream out) throws IOException {
        RawEndpoint.write(out, chunk(2) + LAST_CHUNK);
        return true;
    }

    private String exchange(RawEndpoint.Script first, RawEndpoint.Script second) throws IOException {
        try (RawEndpoint a = endpoint(first, second);
                RawEndpoint b = endpoint(first, second);
                EdgeFixture f = new EdgeFixture(a, b)) {
            return f.exchange(request("/resume/x", "id1"));
        }
    }

    private void assertWhole(String response) {
        assertThat(response).endsWith(chunk(1) + chunk(2) + LAST_CHUNK);
        assertThat(requests.get()).isEqualTo(2);
    }

    @Test
    void theStreamGoesOnWhenTheOtherTurnsItAway() throws IOException {
        String response = exchange(
                (head, connection, out) -> beginAndFallSilent(head, out) && endStream(out), (head, connection, out) -> {
                    RawEndpoint.write(
                            out,
                            head(head)
                                    .replace("200 OK", "503 Service Unavailable\r\nDragonflygw-Not-Executed: 1")
                                    .replace("Transfer-Encoding: chunked", "Content-Length: 0"));
                    return true;
                });
        assertWhole(response);
    }

    @Test
    void theOtherIsGivenUpWhenTheStreamGoesOn() throws IOException, InterruptedException {
        String response = exchange(
                (head, connection, out) -> beginAndFallSilent(head, out) && endStream(out),
                (head, connection, out) -> awaitClose(connection));
        assertWhole(response);
        assertThat(closed.await(CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS)).isTrue();
    }

    @Test
    void theSilentOneIsGivenUpWhenTheOtherTakesOver() throws IOException, InterruptedException {
        String response = exchange(
                (head, connection, out) -> {
                    RawEndpoint.write(out, head(head) + chunk(1));
                    return awaitClose(connection);
                },
                (head, connection, out) -> {
                    assertThat(head).contains("Last-Event-Id: 1");
                    RawEndpoint.write(out, head(head));
                    return endStream(out);
                });
        assertWhole(response);
        assertThat(closed.await(CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS)).isTrue();
    }
}
