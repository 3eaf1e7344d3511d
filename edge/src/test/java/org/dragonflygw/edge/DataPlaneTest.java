package org.dragonflygw.edge;

import static com.google.common.truth.Truth.assertThat;
import static org.dragonflygw.edge.EdgeFixture.request;
import static org.dragonflygw.standins.raw.RawEndpoint.write;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.Locale;
import org.dragonflygw.core.dispatch.EndpointLoadState;
import org.dragonflygw.standins.raw.RawEndpoint;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Requests and responses through the data plane, with endpoints that send scripted bytes. */
final class DataPlaneTest {
    private static final int MAX_POLLS = 200;
    private static final long POLL_MS = 10;

    private static String attemptIdOf(String head) {
        int at = head.toLowerCase(Locale.ROOT).indexOf("dragonflygw-attempt-id:");
        return head.substring(head.indexOf(':', at) + 1, head.indexOf('\r', at)).strip();
    }

    static String signatureHeaders(String head) {
        return "Dragonflygw-Attempt-Id: " + attemptIdOf(head) + "\r\nDragonflygw-Response-Signature: sig\r\n";
    }

    static String answer(String head, String body) {
        return "HTTP/1.1 200 OK\r\n" + signatureHeaders(head) + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private static boolean answerFine(OutputStream out, String head) throws IOException {
        write(out, answer(head, "fine"));
        return true;
    }

    private static int inFlight(EdgeFixture f) {
        return f.loads.all().stream().mapToInt(EndpointLoadState::inFlight).sum();
    }

    @Nested
    final class Responses {
        @Test
        void areForwardedWithSignatureOverReusedConnections() throws IOException {
            try (RawEndpoint e = new RawEndpoint((head, s, out) -> answerFine(out, head));
                    EdgeFixture f = new EdgeFixture(e);
                    Socket c = f.connect()) {
                for (int i = 0; i < 3; i++) {
                    EdgeFixture.send(c, request("/once/x", "id" + i));
                    assertThat(EdgeFixture.readUntil(c, "fine")).contains("Dragonflygw-Response-Signature: sig");
                }
                assertThat(e.heads().get(2)).contains("id2");
                assertThat(e.heads().get(0)).doesNotContain("Bearer");
            }
        }

        @Test
        void withTheIdOfAnotherRequestAreSkipped() throws IOException {
            try (RawEndpoint e = new RawEndpoint((head, s, out) -> {
                        write(out, answer(head, "late").replace(attemptIdOf(head), "other"));
                        return answerFine(out, head);
                    });
                    EdgeFixture f = new EdgeFixture(e)) {
                String text = f.exchange(request("/once/x", "id1"));
                assertThat(text).contains("fine");
                assertThat(text).doesNotContain("late");
            }
        }

        @Test
        void withTrailingBytesDoNotAffectTheNextRequest() throws IOException {
            try (RawEndpoint e = new RawEndpoint((head, s, out) -> {
                        write(out, answer(head, "fine") + answer(head, "extra"));
                        return true;
                    });
                    EdgeFixture f = new EdgeFixture(e);
                    Socket c = f.connect()) {
                for (int i = 0; i < 3; i++) {
                    EdgeFixture.send(c, request("/once/x", "id" + i));
                    assertThat(EdgeFixture.readUntil(c, "fine")).contains("id" + i);
                }
            }
        }

        @Test
        void shorterThanContentLengthGive502() throws IOException {
            try (RawEndpoint e = new RawEndpoint((head, s, out) -> {
                        write(out, answer(head, "fine!!").replace("fine!!", "fi"));
                        return false;
                    });
                    EdgeFixture f = new EdgeFixture(e)) {
                assertThat(f.exchange(request("/once/x", "id1"))).startsWith("HTTP/1.1 502");
            }
        }

        @Test
        void withoutLengthAreCompleteWhenTheConnectionCloses() throws IOException {
            try (RawEndpoint e = new RawEndpoint((head, s, out) -> {
                        write(out, "HTTP/1.1 200 OK\r\n" + signatureHeaders(head) + "\r\nfine");
                        return false;
                    });
                    EdgeFixture f = new EdgeFixture(e)) {
                assertThat(f.exchange(request("/once/x", "id1"))).contains("fine");
            }
        }

        @Test
        void withoutLengthGive502WhenTheConnectionIsReset() throws IOException {
            try (RawEndpoint e = new RawEndpoint((head, s, out) -> {
                        write(out, "HTTP/1.1 200 OK\r\n" + signatureHeaders(head) + "\r\nfine");
                        s.setSoLinger(true, 0);
                        return false;
                    });
                    EdgeFixture f = new EdgeFixture(e)) {
                assertThat(f.exchange(request("/once/x", "id1"))).startsWith("HTTP/1.1 502");
            }
        }

        @Test
        void thatAreNotHttpGive502() throws IOException {
            try (RawEndpoint e = new RawEndpoint((head, s, out) -> {
                        write(out, "\0\1\2 nonsense\r\n\r\n");
                        return false;
                    });
                    EdgeFixture f = new EdgeFixture(e)) {
                assertThat(f.exchange(request("/once/x", "id1"))).startsWith("HTTP/1.1 502");
            }
        }
    }

    @Nested
    final class Streams {
        private static final String HEAD_END = "Transfer-Encoding: chunked\r\n\r\n";

        private static String chunk(String text) {
            return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
        }

        @Test
        void resumeAtAnotherEndpointWhenTheConnectionIsLost() throws IOException {
            RawEndpoint.Script script = (head, s, out) -> {
                write(out, "HTTP/1.1 200 OK\r\n" + signatureHeaders(head) + HEAD_END);
                if (head.contains("Last-Event-Id: 1")) {
                    write(out, chunk("id: 2\n\n") + "0\r\n\r\n");
                    return true;
                }
                write(out, chunk("id: 1\n\nid: 2"));
                return false;
            };
            try (RawEndpoint a = new RawEndpoint(script);
                    RawEndpoint b = new RawEndpoint(script);
                    EdgeFixture f = new EdgeFixture(a, b)) {
                String text = f.exchange(request("/resume/x", "id1"));
                assertThat(text).contains("id: 1\n\n");
                assertThat(text).contains("id: 2\n\n");
                assertThat(text).endsWith("0\r\n\r\n");
                assertThat(a.heads().size() + b.heads().size()).isEqualTo(2);
            }
        }

        @Test
        void withoutResumeEndWithoutTheLastChunkWhenTheConnectionIsLost() throws IOException {
            try (RawEndpoint e = new RawEndpoint((head, s, out) -> {
                        write(out, "HTTP/1.1 200 OK\r\n" + signatureHeaders(head) + HEAD_END + chunk("id: 1\n\n"));
                        return false;
                    });
                    EdgeFixture f = new EdgeFixture(e)) {
                String text = f.exchange(request("/stream/x", "id1"));
                assertThat(text).contains("id: 1\n\n");
                assertThat(text).doesNotContain("0\r\n\r\n");
            }
        }

        @Test
        void areCancelledAtTheEndpointWhenTheCallerDisconnects() throws IOException, InterruptedException {
            try (RawEndpoint e = new RawEndpoint((head, s, out) -> {
                        write(out, "HTTP/1.1 200 OK\r\n" + signatureHeaders(head) + HEAD_END + chunk("id: 1\n\n"));
                        assertThat(s.getInputStream().read()).isEqualTo(-1);
                        return false;
                    });
                    EdgeFixture f = new EdgeFixture(e)) {
                try (Socket c = f.connect()) {
                    EdgeFixture.send(c, request("/stream/x", "id1"));
                    EdgeFixture.readUntil(c, "id: 1");
                }
                for (int i = 0; i < MAX_POLLS && (f.frontState.openCalls() > 0 || inFlight(f) > 0); i++) {
                    Thread.sleep(POLL_MS);
                }
                assertThat(f.frontState.openCalls()).isEqualTo(0);
                assertThat(inFlight(f)).isEqualTo(0);
            }
        }
    }

    @Nested
    final class Requests {
        @Test
        void withAnAmbiguousLengthAreRejected() throws IOException {
            try (RawEndpoint e = new RawEndpoint((head, s, out) -> answerFine(out, head));
                    EdgeFixture f = new EdgeFixture(e)) {
                String smuggled = request("/once/x", "id1")
                        .replace("Content-Length: 4", "Content-Length: 4\r\nTransfer-Encoding: chunked");
                assertThat(f.exchange(smuggled)).startsWith("HTTP/1.1 400");
                String twice = request("/once/x", "id1")
                        .replace("Content-Length: 4", "Content-Length: 4\r\nContent-Length: 5");
                assertThat(f.exchange(twice)).startsWith("HTTP/1.1 400");
                assertThat(e.heads()).isEmpty();
            }
        }

        @Test
        void withoutAKnownKeyOrRouteAreRejected() throws IOException {
            try (RawEndpoint e = new RawEndpoint((head, s, out) -> answerFine(out, head));
                    EdgeFixture f = new EdgeFixture(e)) {
                assertThat(f.exchange(request("/once/x", "id1").replace("Bearer key", "Bearer x")))
                        .startsWith("HTTP/1.1 401");
                assertThat(f.exchange(request("/nowhere/x", "id1"))).startsWith("HTTP/1.1 404");
                assertThat(e.heads()).isEmpty();
            }
        }

        @Test
        void thatAreNotIdempotentAreSentOnceWhenTheConnectionIsLost() throws IOException {
            try (RawEndpoint e = new RawEndpoint((head, s, out) -> false);
                    EdgeFixture f = new EdgeFixture(e, e)) {
                assertThat(f.exchange(request("/once/x", "id1"))).startsWith("HTTP/1.1 502");
                assertThat(e.heads()).hasSize(1);
            }
        }

        @Test
        void withTooLargeHeadersAreRejected() throws IOException {
            try (RawEndpoint e = new RawEndpoint((head, s, out) -> answerFine(out, head));
                    EdgeFixture f = new EdgeFixture(e)) {
                String large =
                        request("/once/x", "id1").replace("Authorization", "X-Large: " + "x".repeat(20_000) + "\r\nA");
                assertThat(f.exchange(large)).startsWith("HTTP/1.1 431");
            }
        }
    }
}
