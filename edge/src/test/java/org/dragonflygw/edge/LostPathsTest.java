package org.dragonflygw.edge;

import static com.google.common.truth.Truth.assertThat;
import static org.dragonflygw.edge.EdgeFixture.request;
import static org.dragonflygw.standins.raw.RawEndpoint.write;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.dragonflygw.core.dispatch.EndpointLoadState;
import org.dragonflygw.standins.raw.RawEndpoint;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against callers that fail because their host, unlike others, reaches no endpoint. */
final class LostPathsTest {
    private static final int MAX_POLLS = 300;
    private static final long POLL_MS = 10;

    /** Returns an endpoint whose port refuses connections. */
    static RawEndpoint refusing() {
        RawEndpoint e = new RawEndpoint((head, s, out) -> false);
        e.close();
        return e;
    }

    private static RawEndpoint answering(String body) {
        return new RawEndpoint((head, s, out) -> {
            write(out, DataPlaneTest.answer(head, body));
            return true;
        });
    }

    /** Waits until a host has noticed that it reaches no endpoint. */
    static void awaitLost(EdgeFixture host) throws Exception {
        host.exchange(request("/again/x", "first"));
        for (int i = 0; i < MAX_POLLS && !host.paths.isLost(EdgeFixture.SERVICE); i++) {
            Thread.sleep(POLL_MS);
        }
        assertThat(host.paths.isLost(EdgeFixture.SERVICE)).isTrue();
    }

    private static int requests(RawEndpoint endpoint, String id) {
        return (int) endpoint.heads().stream().filter(h -> h.contains(id)).count();
    }

    @Nested
    final class AnotherHostThatReachesEndpoints {
        @Test
        void servesTheFirstRequestThatFindsNone() throws IOException {
            try (RawEndpoint sound = answering("fine");
                    EdgeFixture host = new EdgeFixture(sound);
                    EdgeFixture cut = new EdgeFixture(refusing(), refusing())) {
                cut.addHost("b", host);
                String text = cut.exchange(request("/once/x", "id1"));
                assertThat(text).startsWith("HTTP/1.1 200");
                assertThat(text).contains("Dragonflygw-Response-Signature: sig");
                assertThat(text).endsWith("fine");
                assertThat(requests(sound, "id1")).isEqualTo(1);
            }
        }

        @Test
        void servesLaterOnesWithTheTimeThatIsLeft() throws Exception {
            try (RawEndpoint sound = answering("fine");
                    EdgeFixture host = new EdgeFixture(sound);
                    EdgeFixture cut = new EdgeFixture(refusing(), refusing());
                    Socket c = cut.connect()) {
                cut.addHost("b", host);
                awaitLost(cut);
                for (int i = 0; i < 3; i++) {
                    EdgeFixture.send(c, request("/once/x", "later" + i));
                    assertThat(EdgeFixture.readUntil(c, "fine")).contains("later" + i);
                }
                String head = sound.heads().get(sound.heads().size() - 1);
                int at = head.indexOf("Dragonflygw-Deadline-Ms: ") + "Dragonflygw-Deadline-Ms: ".length();
                assertThat(Integer.parseInt(head.substring(at, head.indexOf('\r', at))))
                        .isAtMost(2_500);
                assertThat(head).doesNotContain("Bearer");
            }
        }

        @Test
        void isFoundAmongOthersThatReachNone() throws Exception {
            try (RawEndpoint sound = answering("fine");
                    EdgeFixture host = new EdgeFixture(sound);
                    EdgeFixture alsoCut = new EdgeFixture(refusing(), refusing());
                    EdgeFixture cut = new EdgeFixture(refusing(), refusing())) {
                awaitLost(alsoCut);
                cut.addHost("a", alsoCut);
                cut.addHost("b", host);
                cut.addHost("c", refusing().port());
                for (int i = 0; i < 5; i++) {
                    assertThat(cut.exchange(request("/once/x", "id" + i))).endsWith("fine");
                    assertThat(requests(sound, "id" + i)).isEqualTo(1);
                }
            }
        }

        @Test
        void streamsEventByEvent() throws Exception {
            CountDownLatch second = new CountDownLatch(1);
            RawEndpoint.Script script = (head, s, out) -> {
                write(out, "HTTP/1.1 200 OK\r\n" + DataPlaneTest.signatureHeaders(head));
                write(out, "Transfer-Encoding: chunked\r\n\r\n7\r\nid: 1\n\n\r\n");
                await(second);
                write(out, "7\r\nid: 2\n\n\r\n0\r\n\r\n");
                return true;
            };
            try (RawEndpoint sound = new RawEndpoint(script);
                    EdgeFixture host = new EdgeFixture(sound);
                    EdgeFixture cut = new EdgeFixture(refusing(), refusing());
                    Socket c = cut.connect()) {
                cut.addHost("b", host);
                EdgeFixture.send(c, request("/stream/x", "id1"));
                EdgeFixture.readUntil(c, "id: 1\n\n");
                second.countDown();
                assertThat(EdgeFixture.readUntil(c, "0\r\n\r\n")).contains("id: 2\n\n");
            }
        }

        @Test
        void stopsWhenTheCallerLeaves() throws Exception {
            CountDownLatch never = new CountDownLatch(1);
            RawEndpoint.Script script = (head, s, out) -> {
                await(never);
                return false;
            };
            try (RawEndpoint sound = new RawEndpoint(script);
                    EdgeFixture host = new EdgeFixture(sound);
                    EdgeFixture cut = new EdgeFixture(refusing(), refusing())) {
                cut.addHost("b", host);
                try (Socket c = cut.connect()) {
                    EdgeFixture.send(c, request("/stream/x", "id1"));
                    awaitInFlight(host, 1);
                }
                awaitInFlight(host, 0);
                never.countDown();
            }
        }

        private void await(CountDownLatch latch) throws IOException {
            try {
                assertThat(latch.await(5, TimeUnit.SECONDS)).isTrue();
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
        }

        private void awaitInFlight(EdgeFixture host, int expected) throws InterruptedException {
            for (int i = 0; i < MAX_POLLS && inFlight(host) != expected; i++) {
                Thread.sleep(POLL_MS);
            }
            assertThat(inFlight(host)).isEqualTo(expected);
        }

        private int inFlight(EdgeFixture host) {
            return host.loads.all().stream()
                    .mapToInt(EndpointLoadState::inFlight)
                    .sum();
        }
    }

    @Nested
    final class Promises {
        @Test
        void aRequestIsRefusedAtOnceWhereAllHostsAreCut() throws Exception {
            try (EdgeFixture other = new EdgeFixture(refusing(), refusing());
                    EdgeFixture cut = new EdgeFixture(refusing(), refusing())) {
                awaitLost(other);
                awaitLost(cut);
                cut.addHost("b", other);
                long start = System.nanoTime();
                String text = cut.exchange(request("/once/x", "id1"));
                assertThat(text).startsWith("HTTP/1.1 503");
                assertThat(text).contains("UNREACHABLE");
                assertThat(text).contains("retry-after");
                assertThat(text).doesNotContain("Relay-");
                assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start))
                        .isAtMost(1_000);
            }
        }

        /** Two hosts that both reach no endpoint must not pass a request back and forth. */
        @Test
        void aRequestIsPassedOnOnceAtMost() throws Exception {
            try (RawEndpoint sound = answering("fine");
                    EdgeFixture third = new EdgeFixture(sound);
                    EdgeFixture other = new EdgeFixture(refusing(), refusing());
                    EdgeFixture cut = new EdgeFixture(refusing(), refusing())) {
                cut.addHost("b", other);
                other.addHost("a", cut);
                other.addHost("c", third);
                awaitLost(other);
                int before = sound.heads().size();
                assertThat(cut.exchange(request("/once/x", "id1"))).startsWith("HTTP/1.1 503");
                assertThat(sound.heads()).hasSize(before);
            }
        }

        /** The other host may have run the request, so neither a second run nor a promise is allowed. */
        @Test
        void aRequestThatAnotherHostMayHaveRunIsNotPassedOnAgain() throws Exception {
            RawEndpoint.Script vanishing = (head, s, out) -> false;
            try (RawEndpoint dying = new RawEndpoint(vanishing);
                    RawEndpoint dyingToo = new RawEndpoint(vanishing);
                    EdgeFixture cut = new EdgeFixture(refusing(), refusing())) {
                cut.addHost("b", dying.port());
                cut.addHost("c", dyingToo.port());
                assertThat(cut.exchange(request("/once/x", "id1"))).startsWith("HTTP/1.1 502");
                assertThat(dying.heads().size() + dyingToo.heads().size()).isEqualTo(1);
            }
        }

        /** Only hosts state why they reject a request; an endpoint's answer was run. */
        @Test
        void anEndpointCannotClaimThatAHostRejectedTheRequest() throws Exception {
            RawEndpoint.Script claiming = (head, s, out) -> {
                String answer = DataPlaneTest.answer(head, "fine");
                write(out, answer.replace("Content-Length", "Relay-Reject-Reason: UNREACHABLE\r\nContent-Length"));
                return true;
            };
            try (RawEndpoint e = new RawEndpoint(claiming);
                    EdgeFixture host = new EdgeFixture(e);
                    EdgeFixture cut = new EdgeFixture(refusing(), refusing())) {
                cut.addHost("b", host);
                assertThat(cut.exchange(request("/once/x", "id1"))).endsWith("fine");
                assertThat(requests(e, "id1")).isEqualTo(1);
            }
        }

        @Test
        void anAnswerThatEndsEarlyAtTheOtherHostDoesNotLookComplete() throws Exception {
            RawEndpoint.Script breaking = (head, s, out) -> {
                write(out, "HTTP/1.1 200 OK\r\n" + DataPlaneTest.signatureHeaders(head));
                write(out, "Transfer-Encoding: chunked\r\n\r\n7\r\nid: 1\n\n\r\n");
                return false;
            };
            try (RawEndpoint e = new RawEndpoint(breaking);
                    EdgeFixture cut = new EdgeFixture(refusing(), refusing());
                    Socket c = cut.connect()) {
                cut.addHost("b", e.port());
                EdgeFixture.send(c, request("/stream/x", "id1"));
                String text = EdgeFixture.readUntil(c, "id: 1\n\n");
                try {
                    byte[] rest = c.getInputStream().readAllBytes();
                    text += new String(rest, StandardCharsets.ISO_8859_1);
                } catch (IOException reset) {
                    assertThat(reset).hasMessageThat().isNotEmpty();
                }
                assertThat(text).doesNotContain("0\r\n\r\n");
            }
        }

        @Test
        void aStrangerNeedsAKeyAlsoAtThePortForOtherHosts() throws Exception {
            try (RawEndpoint sound = answering("fine");
                    EdgeFixture host = new EdgeFixture(sound);
                    EdgeFixture cut = new EdgeFixture(refusing(), refusing())) {
                cut.addHost("b", host);
                String text = cut.exchange(request("/once/x", "id1").replace("Bearer key", "Bearer wrong"));
                assertThat(text).startsWith("HTTP/1.1 401");
                assertThat(sound.heads()).isEqualTo(List.of());
            }
        }
    }

    @Nested
    final class AHostWithoutOthers {
        @Test
        void stillTriesItsEndpoints() throws Exception {
            try (EdgeFixture cut = new EdgeFixture(refusing(), refusing());
                    RawEndpoint sound = answering("fine")) {
                awaitLost(cut);
                cut.addEndpoint("back", sound);
                assertThat(cut.exchange(request("/once/x", "id1"))).endsWith("fine");
            }
        }

        @Test
        void servesAgainItselfWhenThePathsAreBack() throws Exception {
            try (RawEndpoint far = answering("far");
                    RawEndpoint near = answering("near");
                    EdgeFixture host = new EdgeFixture(far);
                    EdgeFixture cut = new EdgeFixture(refusing(), refusing())) {
                cut.addHost("b", host);
                awaitLost(cut);
                cut.addEndpoint("back", near);
                for (int i = 0; i < MAX_POLLS && cut.paths.isLost(EdgeFixture.SERVICE); i++) {
                    Thread.sleep(POLL_MS);
                }
                assertThat(cut.exchange(request("/once/x", "id1"))).endsWith("near");
            }
        }
    }
}
