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
 * Random events against an exchange, checked by a simple oracle: an unrepeatable request may run once at most, a refusal
 * that promises "not run" is true, a whole answer is one endpoint's, and every request ends exactly once.
 */
final class ExchangeFuzzTest {
    private static final List<CatalogRoute> ROUTES = List.of(
            ExchangeFixture.route(RouteKind.IDEMPOTENT, false),
            ExchangeFixture.route(RouteKind.NON_IDEMPOTENT, false),
            ExchangeFixture.route(RouteKind.STREAMING, false),
            ExchangeFixture.route(RouteKind.STREAMING, true));

    @Property(tries = 4_000, seed = "20261203")
    void keepsItsPromises(@ForAll @IntRange(max = 3) int routeIndex, @ForAll @Size(max = 30) List<Byte> events) {
        ExchangeFixture f = new ExchangeFixture();
        CatalogRoute route = ROUTES.get(routeIndex);
        Exchange x = f.start(route);
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
        assertThat(ends).isEqualTo(oracle.left ? 0 : 1);
        if (f.finished && f.head.isSuccess()) {
            assertThat(oracle.lastWhole).isTrue();
        }
    }

    /** Plays the network and the endpoints, and knows what has run. */
    private static final class Oracle {
        private final ExchangeFixture f;
        private final Exchange x;
        private int runs;
        private int countedSends;
        private int eventId;
        private boolean headSent;
        private boolean left;
        private boolean lastWhole;

        Oracle(ExchangeFixture f, Exchange x) {
            this.f = f;
            this.x = x;
        }

        void step(byte choice) {
            if (x.ended()) {
                return;
            }
            boolean fresh = countedSends < f.sent.size();
            if (fresh) {
                headSent = false;
            }
            switch (Math.floorMod(choice, 11)) {
                case 0 -> run(() -> x.onAttemptFailed(AttemptFailure.CONNECTION_LOST));
                case 1 -> beforeRun(fresh, () -> x.onAttemptFailed(AttemptFailure.CONNECT_REFUSED));
                case 2 -> beforeRun(fresh, () -> x.onHead(ExchangeFixture.notExecuted(503)));
                case 3 -> run(() -> head(200));
                case 4 -> run(() -> head(500));
                case 5 -> run(() -> head(503));
                case 6 -> body();
                case 7 -> complete();
                case 8 -> {
                    f.clock.advanceMs(260);
                    x.onTimer();
                }
                case 9 -> run(() -> x.onHead(ExchangeFixture.unsigned(200)));
                default -> {
                    left = true;
                    x.onCallerDisconnected();
                }
            }
        }

        private void head(int status) {
            if (!headSent) {
                headSent = true;
                x.onHead(ExchangeFixture.answer(status));
            }
        }

        private void run(Runnable event) {
            if (countedSends < f.sent.size()) {
                countedSends = f.sent.size();
                runs++;
            }
            event.run();
        }

        private void beforeRun(boolean fresh, Runnable event) {
            if (fresh) {
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
                lastWhole = true;
                x.onComplete();
                lastWhole = x.ended();
            }
        }
    }
}
