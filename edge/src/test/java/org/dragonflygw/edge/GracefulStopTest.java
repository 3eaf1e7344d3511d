package org.dragonflygw.edge;

import static com.google.common.truth.Truth.assertThat;
import static org.dragonflygw.edge.EdgeFixture.request;
import static org.dragonflygw.edge.RawEndpoint.write;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.Locale;
import org.junit.jupiter.api.Test;

final class GracefulStopTest {
    private static final long GRACE_MS = 6_000;
    private static final int CHUNK_BYTES = 65_536;
    private static final int CHUNKS = 128;
    private static final int SLOW_PARTS = 21;
    private static final long SLOW_PAUSE_MS = 110;
    private static final long SLOW_REQUEST_DELAY_MS = 1_000;

    /**
     * Time in milliseconds after which the balancer sends nothing more to a stopping host. The documentation for users
     * allows failed connections until then.
     */
    private static final long BALANCER_REMOVAL_MS = 3_000;

    private static String head(String requestHead) {
        int at = requestHead.indexOf("Attempt-Id: ");
        String id = requestHead.substring(at + 12, requestHead.indexOf('\r', at));
        return "HTTP/1.1 200 OK\r\nDragonflygw-Attempt-Id: " + id + "\r\nDragonflygw-Response-Signature: sig\r\n";
    }

    private static Thread stop(EdgeFixture f) {
        Thread t = new Thread(
                () -> {
                    try {
                        f.stop(GRACE_MS).run();
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                },
                "stop");
        t.start();
        return t;
    }

    /**
     * Guards against a stop that closes a connection as idle because the endpoint has ended its response, although a
     * slow caller has not read all of it.
     */
    @Test
    void doesNotCutAResponseThatASlowCallerIsStillReading() throws IOException, InterruptedException {
        try (RawEndpoint e = new RawEndpoint((head, s, out) -> {
                    write(out, head(head) + "Content-Length: " + CHUNK_BYTES * CHUNKS + "\r\n\r\n");
                    for (int i = 0; i < CHUNKS; i++) {
                        write(out, "x".repeat(CHUNK_BYTES));
                    }
                    return true;
                });
                EdgeFixture f = new EdgeFixture(e);
                Socket c = f.connect()) {
            EdgeFixture.send(c, request("/stream/x", "id1"));
            EdgeFixture.readUntil(c, "\r\n\r\n");
            f.frontState.beginStop();
            long read = 0;
            InputStream in = c.getInputStream();
            byte[] buffer = new byte[16_384];
            for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
                read += n;
                f.closeIdle();
                Thread.sleep(1);
            }
            assertThat(read).isEqualTo((long) CHUNK_BYTES * CHUNKS);
        }
    }

    @Test
    void servesRequestsDuringTheStopAndRefusesConnectionsAfterwards() throws IOException, InterruptedException {
        try (RawEndpoint e = new RawEndpoint((head, s, out) -> {
                    write(out, head(head) + "Content-Length: 4\r\n\r\nfine");
                    return true;
                });
                EdgeFixture f = new EdgeFixture(e);
                Socket keptAlive = f.connect()) {
            Thread stop = stop(f);
            EdgeFixture.send(keptAlive, request("/once/x", "id1"));
            assertThat(EdgeFixture.readUntil(keptAlive, "fine").toLowerCase(Locale.ROOT))
                    .contains("connection: close");
            assertThat(f.exchange(request("/once/x", "id2"))).contains("fine");
            stop.join(GRACE_MS);
            assertThat(stop.isAlive()).isFalse();
            assertThrows(IOException.class, f::connect);
        }
    }

    /** A request accepted late in the stop could not be answered before the process is killed. */
    @Test
    void refusesConnectionsAfterTheBalancerLagWhileRequestsAreOpen() throws IOException, InterruptedException {
        try (RawEndpoint e = new RawEndpoint((head, s, out) -> {
                    write(out, head(head) + "Content-Length: " + SLOW_PARTS + "\r\n\r\n");
                    for (int i = 0; i < SLOW_PARTS; i++) {
                        write(out, "x");
                        pause();
                    }
                    return true;
                });
                EdgeFixture f = new EdgeFixture(e);
                Socket slow = f.connect()) {
            Thread stop = stop(f);
            Thread.sleep(SLOW_REQUEST_DELAY_MS);
            EdgeFixture.send(slow, request("/stream/x", "id1"));
            EdgeFixture.readUntil(slow, "\r\n\r\n");
            Thread.sleep(BALANCER_REMOVAL_MS - SLOW_REQUEST_DELAY_MS);
            assertThrows(IOException.class, f::connect);
            assertThat(EdgeFixture.readUntil(slow, "x".repeat(SLOW_PARTS))).endsWith("x");
            stop.join(GRACE_MS);
            assertThat(stop.isAlive()).isFalse();
        }
    }

    private static void pause() {
        try {
            Thread.sleep(SLOW_PAUSE_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
