package org.dragonflygw.edge;

import static com.google.common.truth.Truth.assertThat;
import static org.dragonflygw.edge.EdgeFixture.request;
import static org.dragonflygw.standins.raw.RawEndpoint.write;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.dragonflygw.standins.raw.RawEndpoint;
import org.junit.jupiter.api.Test;

final class GracefulStopTest {
    private static final long GRACE_MS = 6_000;
    private static final int CHUNK_BYTES = 65_536;
    private static final int CHUNKS = 128;
    private static final int SLOW_PARTS = 21;
    private static final long SLOW_PAUSE_MS = 110;
    private static final long SLOW_REQUEST_DELAY_MS = 1_000;
    private static final int CALLERS = 24;
    private static final int ENDPOINTS = 8;

    /** Time before the kill at which the process must have ended, in milliseconds. */
    private static final long EXIT_MARGIN_MS = 300;

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

    /** Guards against a request that is cut as idle although the first part of its head was read. */
    @Test
    void answersARequestOfWhichOnlyAPartWasRead() throws IOException, InterruptedException {
        try (RawEndpoint e = new RawEndpoint((head, s, out) -> {
                    write(out, head(head) + "Content-Length: 4\r\n\r\nfine");
                    return true;
                });
                EdgeFixture f = new EdgeFixture(e);
                Socket open = f.connect();
                Socket partOfHead = f.connect();
                Socket partOfBody = f.connect()) {
            String request = request("/once/x", "id1").replace("Deadline-Ms: 2500", "Deadline-Ms: 9000");
            EdgeFixture.send(partOfHead, request.substring(0, 20));
            Thread stop = stop(f);
            Thread.sleep(2 * SLOW_REQUEST_DELAY_MS);
            EdgeFixture.send(partOfBody, request.substring(0, request.length() - 2));
            EdgeFixture.send(open, request.substring(0, request.length() - 2));
            Thread.sleep(BALANCER_REMOVAL_MS - SLOW_REQUEST_DELAY_MS);
            EdgeFixture.send(partOfHead, request.substring(20));
            EdgeFixture.send(partOfBody, request.substring(request.length() - 2));
            assertThat(EdgeFixture.readUntil(partOfHead, "fine")).contains(" 200 ");
            assertThat(EdgeFixture.readUntil(partOfBody, "fine")).contains(" 200 ");
            assertThat(EdgeFixture.readUntil(open, "\r\n\r\n")).contains(" 503 ");
            stop.join(GRACE_MS);
            assertThat(stop.isAlive()).isFalse();
        }
    }

    /** Guards against a connection that is closed without a response, and a stop that waits for an endpoint. */
    @Test
    void answersARequestWhoseEndpointNeverAnswers() throws IOException, InterruptedException {
        try (RawEndpoint e = new RawEndpoint((head, s, out) -> {
                    for (int i = 0; i < 2 * SLOW_PARTS; i++) {
                        pause();
                        pause();
                    }
                    return true;
                });
                EdgeFixture f = new EdgeFixture(e);
                Socket c = f.connect()) {
            long startNanos = System.nanoTime();
            Thread stop = stop(f);
            Thread.sleep(BALANCER_REMOVAL_MS - SLOW_PAUSE_MS * 2);
            EdgeFixture.send(c, request("/once/x", "id1").replace("Deadline-Ms: 2500", "Deadline-Ms: 9000"));
            assertThat(EdgeFixture.readUntil(c, "\r\n\r\n")).containsMatch(" 50[24] ");
            stop.join(GRACE_MS);
            assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos))
                    .isAtMost(GRACE_MS - EXIT_MARGIN_MS);
        }
    }

    /** Guards against requests that are cut after they were read, on kept connections and on new ones, under load. */
    @Test
    void cutsNoRequestThatWasReadUnderLoad() throws Exception {
        try (RawEndpoint e = new RawEndpoint((head, s, out) -> {
                    pause();
                    write(out, head(head) + "Content-Length: 4\r\n\r\nfine");
                    return true;
                });
                EdgeFixture f = new EdgeFixture(e)) {
            for (int i = 1; i < ENDPOINTS; i++) {
                f.addEndpoint("more-" + i, e);
            }
            Set<String> answered = ConcurrentHashMap.newKeySet();
            List<Thread> callers = new ArrayList<>();
            AtomicBoolean over = new AtomicBoolean();
            for (int i = 0; i < CALLERS; i++) {
                int number = i;
                Thread t = new Thread(() -> call(f, number, answered, over), "caller-" + i);
                t.start();
                callers.add(t);
            }
            Thread.sleep(SLOW_REQUEST_DELAY_MS);
            Thread stop = stop(f);
            stop.join(GRACE_MS);
            over.set(true);
            for (Thread t : callers) {
                t.join(GRACE_MS);
            }
            Set<String> read = new HashSet<>();
            for (String head : e.heads()) {
                int at = head.toLowerCase(Locale.ROOT).indexOf("attempt-id: ");
                read.add(head.substring(at + 12, head.indexOf('\r', at)));
            }
            assertThat(answered.size()).isGreaterThan(CALLERS * 10);
            assertThat(answered).containsAtLeastElementsIn(read);
        }
    }

    /** Sends one request after the other, on a connection that is kept as long as the router keeps it. */
    private static void call(EdgeFixture f, int number, Set<String> answered, AtomicBoolean over) {
        for (int i = 0; !over.get(); ) {
            try (Socket c = f.connect()) {
                for (boolean kept = true; kept && !over.get(); i++) {
                    String id = "c" + number + "n" + i;
                    EdgeFixture.send(c, request("/once/x", id));
                    String response = EdgeFixture.readUntil(c, "\r\n\r\n");
                    response += EdgeFixture.readUntil(c, response.contains(" 200 ") ? "fine" : "}");
                    answered.add(id);
                    kept = !response.toLowerCase(Locale.ROOT).contains("connection: close");
                }
            } catch (IOException closed) {
                i++; // The connection was refused, or closed before the request was read.
                pause();
            }
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
