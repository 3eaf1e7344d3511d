package org.dragonflygw.edge;

import static com.google.common.truth.Truth.assertThat;
import static org.dragonflygw.edge.EdgeFixture.request;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.dragonflygw.standins.raw.RawEndpoint;
import org.junit.jupiter.api.Test;

/** What an endpoint says of itself is heard in each of its responses, also when nobody waits for the response any more. */
final class EndpointNoticeDataPlaneTest {
    private static final int MAX_POLLS = 500;
    private static final long POLL_MS = 10;
    private static final String REJECTION = String.join(
            "\r\n",
            "HTTP/1.1 503 Busy",
            "Dragonflygw-Attempt-Id: ID",
            "Dragonflygw-Not-Executed: true",
            "Retry-After: 3",
            "Content-Length: 0",
            "",
            "");

    private static void awaitQuiet(EdgeFixture f) throws InterruptedException {
        for (int i = 0; i < MAX_POLLS && quietNanos(f) == 0; i++) {
            Thread.sleep(POLL_MS);
        }
        assertThat(quietNanos(f)).isGreaterThan(0L);
    }

    private static long quietNanos(EdgeFixture f) {
        return f.loads.all().iterator().next().quietNanos(System.nanoTime());
    }

    /** Guards against a rejection that was already on its way when the caller left. */
    @Test
    void isHeardAfterTheCallerLeft() throws Exception {
        CountDownLatch received = new CountDownLatch(1);
        CountDownLatch left = new CountDownLatch(1);
        try (RawEndpoint e = new RawEndpoint((head, s, out) -> {
                    received.countDown();
                    await(left);
                    RawEndpoint.write(out, REJECTION.replace("ID", "id1"));
                    return true;
                });
                EdgeFixture f = new EdgeFixture(e)) {
            try (Socket c = f.connect()) {
                EdgeFixture.send(c, request("/once/x", "id1"));
                await(received);
            }
            for (int i = 0; i < MAX_POLLS && f.frontState.openCalls() > 0; i++) {
                Thread.sleep(1);
            }
            left.countDown();
            awaitQuiet(f);
        }
    }

    /** Guards against an endpoint that goes on working for a caller who left. */
    @Test
    void connectionIsClosedSoonAfterTheCallerLeft() throws Exception {
        CountDownLatch received = new CountDownLatch(1);
        CountDownLatch closed = new CountDownLatch(1);
        try (RawEndpoint e = new RawEndpoint((head, s, out) -> {
                    received.countDown();
                    if (s.getInputStream().read() < 0) {
                        closed.countDown();
                    }
                    return false;
                });
                EdgeFixture f = new EdgeFixture(e)) {
            try (Socket c = f.connect()) {
                EdgeFixture.send(c, request("/once/x", "id1"));
                await(received);
            }
            assertThat(closed.await(10, TimeUnit.SECONDS)).isTrue();
        }
    }

    /** Guards against a late rejection that arrives where the response to the next request is expected. */
    @Test
    void isHeardInAResponseToAnotherRequest() throws Exception {
        try (RawEndpoint e = new RawEndpoint((head, s, out) -> {
                    RawEndpoint.write(out, REJECTION.replace("ID", "other") + DataPlaneTest.answer(head, "fine"));
                    return true;
                });
                EdgeFixture f = new EdgeFixture(e)) {
            assertThat(f.exchange(request("/once/x", "id1"))).contains("fine");
            awaitQuiet(f);
        }
    }

    /** Guards against the word of another instance at the endpoint's address. */
    @Test
    void ofAnotherInstanceIsNotHeard() throws Exception {
        try (RawEndpoint e = new RawEndpoint((head, s, out) -> {
                    String misdirected =
                            REJECTION.replace("503 Busy", "421 Misdirected").replace("ID", "other");
                    RawEndpoint.write(out, misdirected + DataPlaneTest.answer(head, "fine"));
                    return true;
                });
                EdgeFixture f = new EdgeFixture(e)) {
            assertThat(f.exchange(request("/once/x", "id1"))).contains("fine");
            assertThat(quietNanos(f)).isEqualTo(0);
        }
    }

    private static void await(CountDownLatch latch) throws IOException {
        try {
            assertThat(latch.await(10, TimeUnit.SECONDS)).isTrue();
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }
}
