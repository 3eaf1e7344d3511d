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

    /** The endpoint has ended its answer, but a slow caller has not read it yet. */
    @Test
    void doesNotCutAnAnswerThatIsStillBeingWritten() throws IOException, InterruptedException {
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
            f.gate.stop();
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
    void servesWhatArrivesMeanwhileAndAcceptsNothingAtItsEnd() throws IOException, InterruptedException {
        try (RawEndpoint e = new RawEndpoint((head, s, out) -> {
                    write(out, head(head) + "Content-Length: 4\r\n\r\nfine");
                    return true;
                });
                EdgeFixture f = new EdgeFixture(e);
                Socket kept = f.connect()) {
            Thread stop = stop(f);
            EdgeFixture.send(kept, request("/once/x", "id1"));
            assertThat(EdgeFixture.readUntil(kept, "fine").toLowerCase(Locale.ROOT))
                    .contains("connection: close");
            assertThat(f.exchange(request("/once/x", "id2"))).contains("fine");
            stop.join(GRACE_MS);
            assertThat(stop.isAlive()).isFalse();
            assertThrows(IOException.class, f::connect);
        }
    }
}
