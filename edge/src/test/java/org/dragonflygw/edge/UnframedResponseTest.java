package org.dragonflygw.edge;

import static com.google.common.truth.Truth.assertThat;
import static org.dragonflygw.edge.EdgeFixture.request;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import org.dragonflygw.standins.raw.RawEndpoint;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Responses with neither a length nor chunks, which end with their connection: whole, broken off, or reset. */
final class UnframedResponseTest {
    private static final String LAST_CHUNK = "0\r\n\r\n";
    private static final String FIRST_EVENT = "id: 1\ndata: one\n\n";
    private static final String SECOND_EVENT = "id: 2\ndata: two\n\n";

    private static String head(String requestHead) {
        return "HTTP/1.1 200 OK\r\nDragonflygw-Attempt-Id: " + attemptIdOf(requestHead)
                + "\r\nDragonflygw-Response-Signature: sig\r\n";
    }

    private static String attemptIdOf(String requestHead) {
        String name = "Dragonflygw-Attempt-Id: ";
        int at = requestHead.indexOf(name) + name.length();
        return requestHead.substring(at, requestHead.indexOf("\r\n", at));
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    /** An endpoint that writes the text without a length or chunks and closes its connection. */
    private static RawEndpoint closing(String body) {
        return new RawEndpoint((head, s, out) -> {
            write(out, head(head) + "\r\n" + body);
            return false;
        });
    }

    /** An endpoint that writes the text without a length or chunks and resets its connection. */
    private static RawEndpoint resetting(String body) {
        return new RawEndpoint((head, s, out) -> {
            write(out, head(head) + "\r\n" + body);
            waitUntilRead();
            s.setSoLinger(true, 0);
            return false;
        });
    }

    /** A reset may overtake the bytes before it, so they are given time to be read. */
    private static void waitUntilRead() {
        try {
            Thread.sleep(100);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static String exchange(RawEndpoint endpoint, String path) throws IOException {
        try (endpoint;
                EdgeFixture f = new EdgeFixture(endpoint)) {
            return f.exchange(request(path, "id1"));
        }
    }

    @Nested
    final class Streams {
        @Test
        void thatEndAfterAnEventAreWhole() throws IOException {
            String text = exchange(closing(FIRST_EVENT + SECOND_EVENT), "/stream/x");
            assertThat(text).contains("data: two");
            assertThat(text).endsWith(LAST_CHUNK);
        }

        /** Guards against a stream that broke off and looks complete to its caller. */
        @Test
        void thatEndInsideAnEventAreBrokenOff() throws IOException {
            String text = exchange(closing(FIRST_EVENT + "id: 2\ndata: tw"), "/stream/x");
            assertThat(text).contains("data: one");
            assertThat(text).doesNotContain(LAST_CHUNK);
        }

        /** Guards against an endpoint that ends as it begins to answer, whose response looks complete and empty. */
        @Test
        void withoutAnEventAreBrokenOff() throws IOException {
            assertThat(exchange(closing(""), "/stream/x")).startsWith("HTTP/1.1 502");
        }

        @Test
        void thatAreResetAfterAnEventAreBrokenOff() throws IOException {
            String text = exchange(resetting(FIRST_EVENT), "/stream/x");
            assertThat(text).contains("data: one");
            assertThat(text).doesNotContain(LAST_CHUNK);
        }

        /** Guards against chunks that end properly in the middle of an event. */
        @Test
        void inChunksThatEndInsideAnEventAreBrokenOff() throws IOException {
            RawEndpoint e = new RawEndpoint((head, s, out) -> {
                write(out, head(head) + "Transfer-Encoding: chunked\r\n\r\n5\r\nid: 1\r\n" + LAST_CHUNK);
                return true;
            });
            assertThat(exchange(e, "/stream/x")).doesNotContain(LAST_CHUNK);
        }

        @Test
        void thatMayBeResumedGoOnAfterTheLastWholeEvent() throws IOException {
            AtomicInteger attempts = new AtomicInteger();
            RawEndpoint.Script script = (head, s, out) -> {
                boolean first = attempts.incrementAndGet() == 1;
                write(out, head(head) + "\r\n" + (first ? FIRST_EVENT + "id: 2\nda" : SECOND_EVENT));
                return false;
            };
            try (RawEndpoint e1 = new RawEndpoint(script);
                    RawEndpoint e2 = new RawEndpoint(script);
                    EdgeFixture f = new EdgeFixture(e1, e2)) {
                String text = f.exchange(request("/resume/x", "id1"));
                assertThat(attempts.get()).isEqualTo(2);
                assertThat(text).contains(FIRST_EVENT);
                assertThat(text).contains(SECOND_EVENT);
                assertThat(text).endsWith(LAST_CHUNK);
            }
        }
    }

    @Nested
    final class PlainResponses {
        @Test
        void thatAreClosedAreWhole() throws IOException {
            String text = exchange(closing("fine"), "/once/x");
            assertThat(text).startsWith("HTTP/1.1 200");
            assertThat(text).contains("fine");
        }

        /** Guards against an endpoint that ends as it begins to answer, whose response looks complete and empty. */
        @Test
        void withoutABodyAreBrokenOff() throws IOException {
            assertThat(exchange(closing(""), "/once/x")).startsWith("HTTP/1.1 502");
        }

        @Test
        void thatAreResetAreBrokenOff() throws IOException {
            assertThat(exchange(resetting("fin"), "/once/x")).startsWith("HTTP/1.1 502");
        }

        @Test
        void thatAreResetAreRepeatedElsewhereIfTheyMay() throws IOException {
            AtomicInteger attempts = new AtomicInteger();
            RawEndpoint.Script script = (head, s, out) -> {
                write(out, head(head) + "\r\nfine");
                if (attempts.incrementAndGet() == 1) {
                    waitUntilRead();
                    s.setSoLinger(true, 0);
                }
                return false;
            };
            try (RawEndpoint e1 = new RawEndpoint(script);
                    RawEndpoint e2 = new RawEndpoint(script);
                    EdgeFixture f = new EdgeFixture(e1, e2)) {
                assertThat(f.exchange(request("/again/x", "id1"))).contains("fine");
                assertThat(attempts.get()).isEqualTo(2);
            }
        }
    }

    /** The router closes the connection to an endpoint that goes on answering, as the heads of all use up their memory. */
    @Nested
    final class ClosedByTheRouter {
        private static final long MAX_HEADER_BYTES = 40_000;
        private static final String FIELD = "X-Filler: filler\r\n";

        /** Guards against a response that the router itself cuts and that reaches its caller as a complete success. */
        @Test
        void areBrokenOff() throws IOException {
            RawEndpoint.Script script = (head, s, out) -> {
                if (head.contains("-Id: small")) {
                    write(out, head(head) + FIELD.repeat(50) + "Content-Length: 4\r\n\r\nfine");
                    return true;
                }
                write(out, head(head) + FIELD.repeat(80) + "\r\nbegun");
                return s.getInputStream().read() >= 0; // The connection stays open until the router closes it.
            };
            try (RawEndpoint e1 = new RawEndpoint(script);
                    RawEndpoint e2 = new RawEndpoint(script);
                    EdgeFixture f = new EdgeFixture(MAX_HEADER_BYTES, e1, e2);
                    Socket large = f.connect()) {
                EdgeFixture.send(large, request("/once/x", "large"));
                waitUntilRead();
                f.exchange(request("/once/x", "small"));
                assertThat(EdgeFixture.readUntil(large, "\r\n\r\n")).startsWith("HTTP/1.1 502");
            }
        }
    }
}
