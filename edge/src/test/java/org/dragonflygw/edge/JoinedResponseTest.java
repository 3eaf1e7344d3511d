package org.dragonflygw.edge;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.dragonflygw.edge.EdgeFixture.request;

import java.io.IOException;
import java.net.Socket;
import org.dragonflygw.standins.raw.RawEndpoint;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * An endpoint sends a second copy of a response that breaks off at any byte. The response to the next request on that
 * connection must not continue it: a failure would turn into a success, or a request that ran into one that did not.
 */
final class JoinedResponseTest {
    private static final String ID = "Dragonflygw-Attempt-Id: ";
    private static final String LENGTH = "Content-Length: 4\r\n";
    private static final String FAILURE_BODY = "failed!";

    /** What an endpoint may send twice; the id comes last, so that most of the copies break off before it. */
    private enum Copied {
        SUCCESS("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nDragonflygw-Response-Signature: sig\r\n"),
        REJECTION("HTTP/1.1 503 Service Unavailable\r\nDragonflygw-Not-Executed: 1\r\nRetry-After: 0.0\r\n");

        private final String fields;

        Copied(String fields) {
            this.fields = fields;
        }

        String to(String id) {
            return fields + LENGTH + ID + id + "\r\n\r\nfine";
        }
    }

    private static String idOf(String head) {
        int at = head.indexOf(ID) + ID.length();
        return head.substring(at, head.indexOf('\r', at));
    }

    private static String failure(String head) {
        return "HTTP/1.1 500 Internal Server Error\r\n" + DataPlaneTest.signatureHeaders(head) + "Content-Length: "
                + FAILURE_BODY.length() + "\r\n\r\n" + FAILURE_BODY;
    }

    private static void pause(long ms) throws IOException {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    private static String send(Socket caller, String id, String until) throws IOException {
        EdgeFixture.send(caller, request("/once/x", id));
        return EdgeFixture.readUntil(caller, until);
    }

    private static long sentCount(String id, RawEndpoint... endpoints) {
        long count = 0;
        for (RawEndpoint e : endpoints) {
            count += e.heads().stream().filter(h -> h.contains(ID + id + "\r")).count();
        }
        return count;
    }

    /** The copy arrives together with the response that it copies. */
    @Nested
    final class RightAfterTheResponse {
        /** Guards against bytes that stay in the decoder of a connection that goes back to the pool. */
        @ParameterizedTest
        @ValueSource(strings = {"SUCCESS", "REJECTION"})
        void doesNotReachTheNextRequest(String kind) throws IOException {
            int length = Copied.valueOf(kind).to("first-000").length();
            try (RawEndpoint e = new RawEndpoint((head, s, out) -> {
                        String id = idOf(head);
                        if (id.startsWith("second")) {
                            RawEndpoint.write(out, failure(head));
                            return true;
                        }
                        int cut = Integer.parseInt(id.substring("first-".length()));
                        RawEndpoint.write(
                                out,
                                DataPlaneTest.answer(head, "fine")
                                        + Copied.valueOf(kind).to(id).substring(0, cut));
                        return true;
                    });
                    EdgeFixture f = new EdgeFixture(e);
                    Socket c = f.connect()) {
                for (int cut = 1; cut < length; cut++) {
                    String number = String.format("%03d", cut);
                    send(c, "first-" + number, "fine");
                    String text = send(c, "second-" + number, "!");
                    assertWithMessage("cut at %s", cut).that(text).startsWith("HTTP/1.1 500 ");
                    assertWithMessage("cut at %s", cut)
                            .that(sentCount("second-" + number, e))
                            .isEqualTo(1);
                }
            }
        }
    }

    /** The copy arrives while no request is open on the connection. */
    @Nested
    final class OnAnIdleConnection {
        private static final long COPY_DELAY_MS = 20;
        private static final long NEXT_REQUEST_DELAY_MS = 80;

        /** Guards against an idle connection that is used again though bytes have arrived on it. */
        @ParameterizedTest
        @ValueSource(ints = {1, 9, 13, 15, 17, 60})
        void doesNotReachTheNextRequest(int cut) throws IOException {
            try (RawEndpoint e = new RawEndpoint((head, s, out) -> {
                        if (head.contains("second")) {
                            RawEndpoint.write(out, failure(head));
                            return true;
                        }
                        RawEndpoint.write(out, DataPlaneTest.answer(head, "fine"));
                        pause(COPY_DELAY_MS);
                        RawEndpoint.write(out, Copied.SUCCESS.to("first").substring(0, cut));
                        return true;
                    });
                    EdgeFixture f = new EdgeFixture(e);
                    Socket c = f.connect()) {
                send(c, "first", "fine");
                pause(NEXT_REQUEST_DELAY_MS);
                assertThat(send(c, "second", "!")).startsWith("HTTP/1.1 500 ");
            }
        }
    }

    /** The copy arrives late, when the next request is already open on the connection. */
    @Nested
    final class BeforeTheNextResponse {
        /** Guards against a success made of the copy's status and the failure's signature. */
        @Test
        void ofASuccessDoesNotTurnAFailureIntoASuccess() throws IOException {
            int length = Copied.SUCCESS.to("first-000").length();
            try (RawEndpoint e = new RawEndpoint((head, s, out) -> {
                        int cut = Integer.parseInt(idOf(head).substring("second-".length()));
                        RawEndpoint.write(out, Copied.SUCCESS.to("first-000").substring(0, cut) + failure(head));
                        return true;
                    });
                    EdgeFixture f = new EdgeFixture(e)) {
                for (int cut = 0; cut <= length; cut++) {
                    boolean whole = cut == 0 || cut == length;
                    String text = f.exchange(request("/once/x", "second-" + cut));
                    assertWithMessage("cut at %s", cut).that(text).startsWith(whole ? "HTTP/1.1 500 " : "HTTP/1.1 50");
                }
            }
        }

        /** Guards against a rejection made of the copy's fields, after which the request runs at a second endpoint. */
        @Test
        void ofARejectionDoesNotSendARequestTwice() throws IOException {
            int length = Copied.REJECTION.to("first-000").length();
            RawEndpoint.Script script = (head, s, out) -> {
                int cut = Integer.parseInt(idOf(head).substring("second-".length()));
                RawEndpoint.write(
                        out, Copied.REJECTION.to("first-000").substring(0, cut) + DataPlaneTest.answer(head, "fine"));
                return true;
            };
            try (RawEndpoint e1 = new RawEndpoint(script);
                    RawEndpoint e2 = new RawEndpoint(script);
                    EdgeFixture f = new EdgeFixture(e1, e2)) {
                for (int cut = 0; cut <= length; cut++) {
                    boolean whole = cut == 0 || cut == length;
                    String text = f.exchange(request("/once/x", "second-" + cut));
                    assertWithMessage("cut at %s", cut)
                            .that(text)
                            .startsWith(whole ? "HTTP/1.1 200 " : "HTTP/1.1 502 ");
                    assertWithMessage("cut at %s", cut)
                            .that(sentCount("second-" + cut, e1, e2))
                            .isEqualTo(1);
                }
            }
        }
    }
}
