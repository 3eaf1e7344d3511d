package org.dragonflygw.edge;

import static com.google.common.truth.Truth.assertThat;
import static org.dragonflygw.edge.EdgeFixture.readUntil;
import static org.dragonflygw.edge.EdgeFixture.request;
import static org.dragonflygw.edge.EdgeFixture.send;
import static org.dragonflygw.standins.raw.RawEndpoint.write;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.dragonflygw.standins.raw.RawEndpoint;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Requests that wait while the only endpoint has no room: it has one slot, so that it takes three requests. */
final class WaitingDataPlaneTest {
    private static final int ROOM = 3;
    private static final long GRACE_MS = 6_000;

    private final CountDownLatch finishFirst = new CountDownLatch(1);
    private final RawEndpoint endpoint = new RawEndpoint((head, s, out) -> {
        if (head.contains("fill0")) {
            await(finishFirst);
        } else if (head.contains("fill")) {
            pause(1_500);
        }
        write(out, head(head) + "Content-Length: 4\r\n\r\nfine");
        return true;
    });
    private final EdgeFixture f = new EdgeFixture();
    private final List<Socket> fillers = new ArrayList<>();

    private static String head(String requestHead) {
        int at = requestHead.indexOf("Attempt-Id: ");
        String id = requestHead.substring(at + 12, requestHead.indexOf('\r', at));
        return "HTTP/1.1 200 OK\r\nDragonflygw-Attempt-Id: " + id + "\r\nDragonflygw-Response-Signature: sig\r\n";
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await(4, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Serves a few requests, so that a rate is known, and then fills the endpoint. */
    private void fill() throws IOException {
        f.boundedWait = true;
        f.addEndpoint("i-0", endpoint, 1);
        for (int i = 0; i < 40; i++) {
            assertThat(f.exchange(request("/once/x", "warm" + i))).contains("fine");
        }
        for (int i = 0; i < ROOM; i++) {
            Socket s = f.connect();
            fillers.add(s);
            send(s, request("/once/x", "fill" + i));
        }
        awaitHeads(40 + ROOM);
    }

    private void awaitHeads(int count) {
        for (int i = 0; i < 400 && endpoint.heads().size() < count; i++) {
            pause(5);
        }
        assertThat(endpoint.heads()).hasSize(count);
    }

    private void awaitWaiting(int count) {
        for (int i = 0; i < 400 && f.admission.waitingCount() != count; i++) {
            pause(1);
        }
        assertThat(f.admission.waitingCount()).isEqualTo(count);
    }

    @AfterEach
    void close() throws IOException {
        finishFirst.countDown();
        for (Socket s : fillers) {
            s.close();
        }
        f.close();
        endpoint.close();
    }

    @Test
    void aRequestIsServedWhenASlotIsFreed() throws IOException {
        fill();
        try (Socket c = f.connect()) {
            send(c, request("/once/x", "waits"));
            awaitWaiting(1);
            finishFirst.countDown();
            assertThat(readUntil(c, "fine")).startsWith("HTTP/1.1 200");
            assertThat(f.admission.counts().served()).isAtLeast(1);
        }
    }

    /** Guards against a request that is sent after its caller has left. */
    @Test
    void aCallerThatLeavesIsForgottenAtOnce() throws IOException {
        fill();
        try (Socket c = f.connect()) {
            send(c, request("/once/x", "leaves"));
            awaitWaiting(1);
        }
        awaitWaiting(0);
        finishFirst.countDown();
        readUntil(fillers.get(0), "fine");
        assertThat(endpoint.heads().stream().filter(h -> h.contains("leaves")).count())
                .isEqualTo(0);
    }

    @Test
    void aRequestThatWaitsInVainIsRefusedAsNotRun() throws IOException {
        fill();
        String response = f.exchange(request("/once/x", "vain"));
        assertThat(response).startsWith("HTTP/1.1 503");
        assertThat(response).contains("BUSY");
        assertThat(response.toLowerCase(Locale.ROOT)).contains("retry-after: 0.");
        assertThat(endpoint.heads().stream().filter(h -> h.contains("vain")).count())
                .isEqualTo(0);
    }

    @Test
    void aPlannedStopAnswersWhatWaits() throws IOException, InterruptedException {
        fill();
        try (Socket c = f.connect()) {
            send(c, request("/once/x", "waits"));
            awaitWaiting(1);
            Thread stop = new Thread(
                    () -> {
                        try {
                            f.stop(GRACE_MS).run();
                        } catch (InterruptedException e) {
                            Thread.currentThread().interrupt();
                        }
                    },
                    "stop");
            long startNanos = System.nanoTime();
            stop.start();
            assertThat(readUntil(c, "\r\n\r\n")).startsWith("HTTP/1.1 503");
            assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos))
                    .isLessThan(450);
            finishFirst.countDown();
            stop.join(GRACE_MS);
            assertThat(stop.isAlive()).isFalse();
        }
    }
}
