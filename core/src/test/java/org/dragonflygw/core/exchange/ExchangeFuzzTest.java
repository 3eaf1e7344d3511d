package org.dragonflygw.core.exchange;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.charset.StandardCharsets;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.dragonflygw.core.catalog.CatalogRoute;
import org.dragonflygw.core.catalog.RouteKind;

/**
 * Feeds random events to an exchange and checks invariants against a simple oracle: a request that is not repeatable
 * runs at most once, a request that is rejected with 503 has not run, a completed response is that of one endpoint, and
 * every request ends exactly once.
 */
final class ExchangeFuzzTest {
    private static final List<CatalogRoute> ROUTES = List.of(
            ExchangeFixture.route(RouteKind.IDEMPOTENT, false),
            ExchangeFixture.route(RouteKind.NON_IDEMPOTENT, false),
            ExchangeFixture.route(RouteKind.STREAMING, false),
            ExchangeFixture.route(RouteKind.STREAMING, true));

    @Property(tries = 4_000, seed = "20261203")
    void anySequenceOfEventsKeepsTheInvariants(
            @ForAll @IntRange(max = 3) int routeIndex, @ForAll @Size(max = 30) List<Byte> events) {
        ExchangeFixture f = new ExchangeFixture();
        CatalogRoute route = ROUTES.get(routeIndex);
        StartedExchange x = f.start(route);
        Oracle oracle = new Oracle(f, x);
        events.forEach(oracle::step);
        f.clock.advanceMs(5_000);
        x.onTimer();
        assertThat(x.ended()).isTrue();
        assertThat(f.totalInFlight()).isEqualTo(0);
        assertWithMessage("runs of %s", route.kind())
                .that(oracle.runs)
                .isAtMost(route.repeatable() ? route.maxAttempts() : 1);
        if (!f.rejections.isEmpty() && f.rejections.get(0).reason().status() == 503) {
            assertThat(oracle.runs).isEqualTo(0);
        }
        int ends = f.rejections.size() + (f.finished ? 1 : 0) + (f.aborted ? 1 : 0);
        assertThat(ends).isEqualTo(oracle.callerDisconnected ? 0 : 1);
        if (f.finished && f.head.isSuccess()) {
            assertThat(oracle.lastComplete).isTrue();
        }
    }

    /** Simulates the network and the endpoints, and counts how often the request ran. */
    private static final class Oracle {
        private final ExchangeFixture f;
        private final StartedExchange x;
        private int runs;
        private int countedSends;
        private int eventId;
        private boolean headSent;
        private boolean callerDisconnected;
        private boolean lastComplete;

        Oracle(ExchangeFixture f, StartedExchange x) {
            this.f = f;
            this.x = x;
        }

        void step(byte choice) {
            if (x.ended()) {
                return;
            }
            boolean newAttempt = countedSends < f.sent.size();
            if (newAttempt) {
                headSent = false;
            }
            switch (Math.floorMod(choice, 11)) {
                case 0 -> run(() -> x.onAttemptFailed(AttemptFailure.CONNECTION_LOST));
                case 1 -> beforeRun(newAttempt, () -> x.onAttemptFailed(AttemptFailure.CONNECT_REFUSED));
                case 2 -> beforeRun(newAttempt, () -> x.onHead(ExchangeFixture.notExecutedHead(503)));
                case 3 -> run(() -> head(200));
                case 4 -> run(() -> head(500));
                case 5 -> run(() -> head(503));
                case 6 -> body();
                case 7 -> complete();
                case 8 -> {
                    f.clock.advanceMs(260);
                    x.onTimer();
                }
                case 9 -> run(() -> x.onHead(ExchangeFixture.unsignedHead(200)));
                default -> {
                    callerDisconnected = true;
                    x.onCallerDisconnected();
                }
            }
        }

        private void head(int status) {
            if (!headSent) {
                headSent = true;
                x.onHead(ExchangeFixture.signedHead(status));
            }
        }

        private void run(Runnable event) {
            if (countedSends < f.sent.size()) {
                countedSends = f.sent.size();
                runs++;
            }
            event.run();
        }

        private void beforeRun(boolean newAttempt, Runnable event) {
            if (newAttempt) {
                countedSends = f.sent.size();
                event.run();
            }
        }

        private void body() {
            if (headSent && countedSends == f.sent.size()) {
                x.onBody(("id: " + ++eventId + "\n\n").getBytes(StandardCharsets.UTF_8));
            }
        }

        private void complete() {
            if (headSent && countedSends == f.sent.size()) {
                lastComplete = true;
                x.onComplete();
                lastComplete = x.ended();
            }
        }
    }
}
