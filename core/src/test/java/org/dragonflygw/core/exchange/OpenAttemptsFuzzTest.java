package org.dragonflygw.core.exchange;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.dragonflygw.core.catalog.CatalogRoute;
import org.dragonflygw.core.catalog.RouteKind;
import org.dragonflygw.core.catalog.WeightedService;

/**
 * Feeds random events to all attempts of a request, those that were given up included, and checks what the caller gets
 * against a simple oracle. Guards against events that come twice or are missing while a silent endpoint and another one
 * have the request, and against more runs than the route allows.
 */
final class OpenAttemptsFuzzTest {
    private static final int EVENTS = 4;
    private static final int ENDPOINTS = 6;
    private static final long DEADLINE_MS = 10_000;

    @Property(tries = 6_000, seed = "20261207")
    void anyOrderOfEventsLeavesOneWholeStream(
            @ForAll @IntRange(min = 1, max = 3) int maxAttempts,
            @ForAll boolean streaming,
            @ForAll @Size(max = 40) List<@IntRange(max = 3_999) Integer> choices) {
        ExchangeFixture f = new ExchangeFixture();
        for (int i = 4; i <= ENDPOINTS; i++) {
            f.loads.onUpdated(ExchangeFixture.endpoint("e" + i));
        }
        Oracle oracle = new Oracle(f, f.start(route(streaming, maxAttempts), DEADLINE_MS), streaming);
        choices.forEach(oracle::step);
        f.clock.advanceMs(2 * DEADLINE_MS);
        oracle.exchange.onTimer();
        assertThat(oracle.exchange.ended()).isTrue();
        assertThat(f.totalInFlight()).isEqualTo(0);
        assertWithMessage("runs").that(f.sent.size() - oracle.notRun).isAtMost(maxAttempts);
        int ends = f.rejections.size() + (f.finished ? 1 : 0) + (f.aborted ? 1 : 0);
        assertThat(ends).isEqualTo(oracle.callerLeft ? 0 : 1);
        if (!f.rejections.isEmpty() && f.rejections.get(0).reason().status() == 503) {
            assertThat(oracle.ran).isFalse();
        }
    }

    private static CatalogRoute route(boolean streaming, int maxAttempts) {
        RouteKind kind = streaming ? RouteKind.STREAMING : RouteKind.IDEMPOTENT;
        WeightedService service = new WeightedService(ExchangeFixture.SERVICE, 1);
        return new CatalogRoute(
                "r", "h", "/p/", kind, 8_000, 100, 1, List.of(service), maxAttempts, false, false, streaming, 400);
    }

    private static String events(int from, int last) {
        StringBuilder text = new StringBuilder();
        for (int id = from; id <= last; id++) {
            text.append("id: ").append(id).append("\ndata: x\n\n");
        }
        return text.toString();
    }

    /** Simulates the endpoints, and checks after each event what the caller has got. */
    private static final class Oracle {
        private final ExchangeFixture f;
        private final StartedExchange exchange;
        private final boolean streaming;
        private final List<SimulatedEndpoint> endpoints = new ArrayList<>();
        private int notRun;
        private boolean ran;
        private boolean callerLeft;

        Oracle(ExchangeFixture f, StartedExchange exchange, boolean streaming) {
            this.f = f;
            this.exchange = exchange;
            this.streaming = streaming;
            addEndpoints();
        }

        private void addEndpoints() {
            while (endpoints.size() < f.sent.size()) {
                int number = endpoints.size();
                int after =
                        f.sent.get(number).resumeAfter().map(Integer::parseInt).orElse(0);
                endpoints.add(new SimulatedEndpoint(exchange.attempt(number), after + 1));
            }
        }

        void step(int choice) {
            if (exchange.ended()) {
                return;
            }
            SimulatedEndpoint endpoint = endpoints.get(choice / 16 % endpoints.size());
            int before = f.body.length();
            act(endpoint, choice % 16);
            addEndpoints();
            String whole = events(1, EVENTS);
            assertThat(whole).startsWith(f.body.toString());
            if (f.finished) {
                assertThat(f.body.toString()).isEqualTo(whole);
            } else if (f.body.length() > before && !exchange.ended()) {
                assertWithMessage("open attempts").that(f.totalInFlight()).isEqualTo(1);
            }
        }

        private void act(SimulatedEndpoint endpoint, int action) {
            switch (action) {
                case 0, 1, 2, 3 -> endpoint.write();
                case 4 -> endpoint.writePart();
                case 5, 6 -> endpoint.complete();
                case 7 -> endpoint.lose();
                case 8 -> endpoint.reject();
                case 9 -> endpoint.refuse();
                case 10 -> endpoint.sendError();
                case 11, 12, 13, 14 -> {
                    f.clock.advanceMs(streaming ? 350 : 150);
                    exchange.onTimer();
                }
                default -> {
                    if (f.clock.nanos() % 3 == 0) {
                        callerLeft = true;
                        exchange.onCallerDisconnected();
                    }
                }
            }
        }

        private final class SimulatedEndpoint {
            private final AttemptListener listener;
            private int next;
            private boolean begun;
            private boolean ended;

            SimulatedEndpoint(AttemptListener listener, int next) {
                this.listener = listener;
                this.next = next;
            }

            private boolean begin() {
                if (ended) {
                    return false;
                }
                ran = true;
                if (!begun) {
                    begun = true;
                    listener.onHead(ExchangeFixture.signedHead(200));
                }
                return true;
            }

            private void write() {
                if (next <= EVENTS && begin()) {
                    body(events(next, next));
                    next++;
                }
            }

            private void writePart() {
                if (next <= EVENTS && begin()) {
                    String event = events(next, next);
                    body(event.substring(0, 5));
                    body(event.substring(5));
                    next++;
                }
            }

            private void body(String text) {
                listener.onBody(text.getBytes(StandardCharsets.UTF_8));
            }

            private void complete() {
                if (next > EVENTS && begin()) {
                    ended = true;
                    listener.onComplete();
                }
            }

            private void lose() {
                if (!ended) {
                    ran = true;
                    ended = true;
                    listener.onFailed(AttemptFailure.CONNECTION_LOST);
                }
            }

            private void reject() {
                if (!ended && !begun) {
                    ended = true;
                    notRun++;
                    listener.onHead(ExchangeFixture.notExecutedHead(503));
                }
            }

            private void refuse() {
                if (!ended && !begun) {
                    ended = true;
                    notRun++;
                    listener.onFailed(AttemptFailure.CONNECT_REFUSED);
                }
            }

            private void sendError() {
                if (!ended && !begun) {
                    ran = true;
                    ended = true;
                    begun = true;
                    listener.onHead(ExchangeFixture.signedHead(500));
                    listener.onFailed(AttemptFailure.CONNECTION_LOST);
                }
            }
        }
    }
}
