package org.dragonflygw.core.exchange;

import static com.google.common.truth.Truth.assertThat;
import static org.dragonflygw.core.exchange.ExchangeFixture.notExecutedHead;
import static org.dragonflygw.core.exchange.ExchangeFixture.route;
import static org.dragonflygw.core.exchange.ExchangeFixture.signedHead;
import static org.dragonflygw.core.exchange.ExchangeFixture.unsignedHead;

import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import org.dragonflygw.core.catalog.CatalogRoute;
import org.dragonflygw.core.catalog.RouteKind;
import org.dragonflygw.core.discovery.DiscoveredEndpoint;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Endpoints that send nothing for a moment and go on. Guards against giving up an attempt that may still be answered before
 * another endpoint has taken over: callers lost streams that their endpoint would have ended in time.
 */
final class SilentEndpointTest {
    private static final CatalogRoute STREAM = route(RouteKind.STREAMING, true);
    private static final CatalogRoute PLAIN = route(RouteKind.IDEMPOTENT, false);

    /** Longer than the silence after which an attempt is replaced, as long as a sound endpoint may be silent. */
    private static final long SILENCE_MS = 1_400;

    private static final long STEP_MS = 50;
    private static final long DEADLINE_MS = 60_000;

    private final ExchangeFixture f = new ExchangeFixture();

    private StartedExchange start(CatalogRoute route) {
        return f.start(route, DEADLINE_MS);
    }

    private StartedExchange startStream() {
        StartedExchange x = start(STREAM);
        x.onHead(signedHead(200));
        x.onBody(event(1));
        return x;
    }

    private static byte[] event(int id) {
        return ("id: " + id + "\ndata: x\n\n").getBytes(StandardCharsets.UTF_8);
    }

    private static String events(int last) {
        StringBuilder all = new StringBuilder();
        for (int id = 1; id <= last; id++) {
            all.append(new String(event(id), StandardCharsets.UTF_8));
        }
        return all.toString();
    }

    private void pass(StartedExchange x, long ms) {
        for (long passed = 0; passed < ms; passed += STEP_MS) {
            f.clock.advanceMs(STEP_MS);
            x.onTimer();
        }
    }

    private void removeAllBut(String id) {
        for (DiscoveredEndpoint e : f.loads.all().stream().map(s -> s.entry()).toList()) {
            if (!e.id().equals(id)) {
                f.loads.onRemoved(e);
            }
        }
    }

    private String endpointOf(int attempt) {
        return f.sent.get(attempt).endpoint().id();
    }

    /** The endpoint of an attempt sends the last event and ends its response. */
    private static void end(StartedExchange x, int attempt, int lastEvent) {
        x.attempt(attempt).onBody(event(lastEvent));
        x.attempt(attempt).onComplete();
    }

    private void assertWhole(String body) {
        assertThat(f.finished).isTrue();
        assertThat(f.aborted).isFalse();
        assertThat(f.body.toString()).isEqualTo(body);
        assertThat(f.totalInFlight()).isEqualTo(0);
    }

    @Nested
    final class WhenNoOtherEndpointCanServe {
        @Test
        void theStreamGoesOn() {
            StartedExchange x = startStream();
            removeAllBut(endpointOf(0));
            pass(x, SILENCE_MS);
            end(x, 0, 2);
            assertWhole(events(2));
            assertThat(f.sent).hasSize(1);
        }

        @Test
        void theStreamGoesOnWhereAllOthersAreOfAnotherVersion() {
            StartedExchange x = startStream();
            removeAllBut(endpointOf(0));
            f.loads.onUpdated(
                    new DiscoveredEndpoint("new", ExchangeFixture.SERVICE, "10.0.0.2", 80, "a", 4, false, 0, 1, "v2"));
            pass(x, SILENCE_MS);
            end(x, 0, 2);
            assertWhole(events(2));
        }

        @Test
        void aResponseThatHasNotBegunIsAwaited() {
            StartedExchange x = start(STREAM);
            removeAllBut(endpointOf(0));
            pass(x, SILENCE_MS);
            x.onHead(signedHead(200));
            end(x, 0, 1);
            assertWhole(events(1));
        }

        @Test
        void aPlainResponseIsAwaited() {
            StartedExchange x = start(PLAIN);
            removeAllBut(endpointOf(0));
            pass(x, SILENCE_MS);
            x.onHead(signedHead(200));
            end(x, 0, 1);
            assertWhole(events(1));
        }

        @Test
        void noRetryIsTakenFromTheBudget() {
            StartedExchange x = startStream();
            removeAllBut(endpointOf(0));
            pass(x, 5_000);
            assertThat(f.retries.grantedCount()).isEqualTo(0);
        }

        @Test
        void anotherEndpointTakesOverAsSoonAsOneCan() {
            StartedExchange x = startStream();
            removeAllBut(endpointOf(0));
            pass(x, SILENCE_MS);
            f.loads.onUpdated(ExchangeFixture.endpoint("new"));
            pass(x, 600);
            assertThat(endpointOf(1)).isEqualTo("new");
            assertThat(f.sent.get(1).resumeAfter()).hasValue("1");
        }

        @Test
        void theRequestEndsAtItsDeadline() {
            StartedExchange x = start(STREAM);
            removeAllBut(endpointOf(0));
            pass(x, STREAM.timeoutMs());
            assertThat(f.rejections.get(0).reason()).isEqualTo(RejectReason.TIMED_OUT);
            assertThat(f.cancelled).isEqualTo(1);
        }

        @Test
        void aLostConnectionEndsTheStream() {
            StartedExchange x = startStream();
            removeAllBut(endpointOf(0));
            pass(x, SILENCE_MS);
            x.onAttemptFailed(AttemptFailure.CONNECTION_LOST);
            assertThat(f.aborted).isTrue();
        }
    }

    @Nested
    final class WhenAnotherEndpointTurnsTheRequestAway {
        private void goesOnAfter(Consumer<AttemptListener> turnsAway) {
            StartedExchange x = startStream();
            pass(x, 1_050);
            assertThat(f.sent).hasSize(2);
            turnsAway.accept(x.attempt(1));
            for (int i = 2; i < f.sent.size(); i++) {
                turnsAway.accept(x.attempt(i));
            }
            end(x, 0, 2);
            assertWhole(events(2));
        }

        @Test
        void theStreamGoesOn() {
            goesOnAfter(a -> a.onHead(notExecutedHead(503)));
        }

        @Test
        void theStreamGoesOnWhenAnotherInstanceHasTheAddress() {
            goesOnAfter(a -> a.onHead(notExecutedHead(421)));
        }

        @Test
        void theStreamGoesOnWhenNoConnectionCanBeOpened() {
            goesOnAfter(a -> a.onFailed(AttemptFailure.CONNECT_REFUSED));
        }

        @Test
        void theStreamGoesOnWhenTheConnectionIsLost() {
            goesOnAfter(a -> a.onFailed(AttemptFailure.CONNECTION_LOST));
        }

        @Test
        void theStreamGoesOnAfterAnError() {
            goesOnAfter(a -> {
                a.onHead(signedHead(500));
                a.onComplete();
            });
        }

        @Test
        void theStreamGoesOnAfterAnInvalidResponse() {
            goesOnAfter(a -> a.onHead(unsignedHead(200)));
        }

        @Test
        void theStreamGoesOnAfterAResponseThatBeginsAnew() {
            goesOnAfter(a -> {
                a.onHead(signedHead(200));
                a.onBody(event(1));
            });
        }

        @Test
        void theStreamGoesOnAfterAHeadWithoutAnEvent() {
            goesOnAfter(a -> {
                a.onHead(signedHead(200));
                a.onFailed(AttemptFailure.CONNECTION_LOST);
            });
        }

        @Test
        void aResponseThatHasNotBegunIsAwaited() {
            StartedExchange x = start(STREAM);
            pass(x, 250);
            assertThat(f.sent).hasSize(2);
            x.attempt(1).onHead(notExecutedHead(503));
            x.attempt(2).onHead(notExecutedHead(503));
            pass(x, SILENCE_MS);
            x.attempt(0).onHead(signedHead(200));
            end(x, 0, 1);
            assertWhole(events(1));
        }
    }

    @Nested
    final class WhileTwoEndpointsHaveTheRequest {
        private final StartedExchange x = startStream();

        private void replace() {
            pass(x, 1_050);
            assertThat(f.sent).hasSize(2);
            assertThat(f.cancelled).isEqualTo(0);
        }

        @Test
        void theOneThatGoesOnEndsTheOther() {
            replace();
            x.attempt(0).onBody(event(2));
            assertThat(f.cancelled).isEqualTo(1);
            x.attempt(1).onHead(signedHead(200));
            x.attempt(1).onBody(event(2));
            end(x, 0, 3);
            assertWhole(events(3));
        }

        @Test
        void theNewOneEndsTheSilentOneWithItsFirstEvent() {
            replace();
            x.attempt(1).onHead(signedHead(200));
            x.attempt(1).onBody(event(2));
            assertThat(f.cancelled).isEqualTo(1);
            end(x, 0, 2);
            assertThat(f.finished).isFalse();
            end(x, 1, 3);
            assertWhole(events(3));
        }

        @Test
        void theSilentOneMayGoOnAfterTheHeadOfTheOther() {
            replace();
            x.attempt(1).onHead(signedHead(200));
            x.attempt(0).onBody(event(2));
            x.attempt(1).onBody(event(2));
            x.attempt(0).onComplete();
            assertWhole(events(2));
        }

        @Test
        void aPartOfAnEventEndsNeither() {
            replace();
            x.attempt(1).onHead(signedHead(200));
            x.attempt(1).onBody("id: 2\nda".getBytes(StandardCharsets.UTF_8));
            x.attempt(0).onBody("id: 2\nda".getBytes(StandardCharsets.UTF_8));
            assertThat(f.cancelled).isEqualTo(0);
            x.attempt(0).onBody("ta: x\n\n".getBytes(StandardCharsets.UTF_8));
            x.attempt(1).onBody("ta: x\n\n".getBytes(StandardCharsets.UTF_8));
            x.attempt(0).onComplete();
            assertWhole(events(2));
        }

        /** An engine that has begun must not have another one at work on the same stream for long. */
        @Test
        void theSilentOneEndsSoonAfterTheHeadOfTheOther() {
            replace();
            x.attempt(1).onHead(signedHead(200));
            pass(x, 350);
            assertThat(f.cancelled).isEqualTo(1);
            end(x, 1, 2);
            assertWhole(events(2));
        }

        @Test
        void theNewOneGoesOnWhenTheConnectionToTheSilentOneIsLost() {
            replace();
            x.attempt(0).onFailed(AttemptFailure.CONNECTION_LOST);
            assertThat(f.aborted).isFalse();
            x.attempt(1).onHead(signedHead(200));
            end(x, 1, 2);
            assertWhole(events(2));
        }

        @Test
        void theStreamIsCutWhenBothAreLost() {
            replace();
            x.attempt(1).onFailed(AttemptFailure.CONNECTION_LOST);
            assertThat(f.aborted).isFalse();
            x.attempt(0).onFailed(AttemptFailure.CONNECTION_LOST);
            assertThat(f.aborted).isTrue();
        }

        @Test
        void bothEndWhenTheCallerLeaves() {
            replace();
            x.onCallerDisconnected();
            assertThat(f.cancelled).isEqualTo(2);
            assertThat(f.totalInFlight()).isEqualTo(0);
        }

        @Test
        void bothEndAtTheDeadline() {
            replace();
            pass(x, STREAM.timeoutMs());
            assertThat(f.cancelled).isEqualTo(2);
            assertThat(f.aborted).isTrue();
            assertThat(f.totalInFlight()).isEqualTo(0);
        }

        @Test
        void bothEndWithTheProcess() {
            replace();
            x.onStopping();
            assertThat(f.cancelled).isEqualTo(2);
            assertThat(f.aborted).isTrue();
        }

        @Test
        void noThirdEndpointGetsTheRequest() {
            replace();
            pass(x, 800);
            assertThat(f.sent).hasSize(2);
        }
    }

    @Nested
    final class PlainResponses {
        @Test
        void theFirstCompleteOneIsForwarded() {
            StartedExchange x = start(PLAIN);
            pass(x, 250);
            assertThat(f.sent).hasSize(2);
            x.attempt(1).onHead(signedHead(200));
            x.attempt(1).onBody(event(5));
            x.attempt(0).onHead(signedHead(200));
            end(x, 0, 1);
            x.attempt(1).onComplete();
            assertWhole(events(1));
            assertThat(f.cancelled).isEqualTo(1);
        }
    }

    /** A connection that opens only after the request was sent elsewhere. */
    @Nested
    final class AConnectionThatOpensLate {
        @Test
        void getsNothingWhileAnotherEndpointHasTheRequest() {
            StartedExchange x = start(PLAIN);
            pass(x, 250);
            assertThat(x.attempt(1).mayStillSend()).isTrue();
            assertThat(x.attempt(0).mayStillSend()).isFalse();
        }

        @Test
        void isUsedWhenTheOtherEndpointHasTurnedTheRequestAway() {
            StartedExchange x = start(PLAIN);
            pass(x, 250);
            x.attempt(1).onHead(notExecutedHead(503));
            x.attempt(2).onHead(notExecutedHead(503));
            assertThat(x.attempt(0).mayStillSend()).isTrue();
        }
    }
}
