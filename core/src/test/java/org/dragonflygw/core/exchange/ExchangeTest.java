package org.dragonflygw.core.exchange;

import static com.google.common.truth.Truth.assertThat;
import static org.dragonflygw.core.exchange.ExchangeFixture.answer;
import static org.dragonflygw.core.exchange.ExchangeFixture.notExecuted;
import static org.dragonflygw.core.exchange.ExchangeFixture.route;
import static org.dragonflygw.core.exchange.ExchangeFixture.unsigned;

import java.nio.charset.StandardCharsets;
import java.util.Set;
import org.dragonflygw.core.catalog.RouteKind;
import org.dragonflygw.core.retry.CrashSuspect;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class ExchangeTest {
    private final ExchangeFixture f = new ExchangeFixture();

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @Nested
    final class PlainAnswers {
        @Test
        void arePassedOnceTheyAreWhole() {
            Exchange x = f.start(route(RouteKind.NON_IDEMPOTENT, false));
            x.onHead(answer(200));
            x.onBody(bytes("half"));
            assertThat(f.head).isNull();
            x.onBody(bytes(" whole"));
            x.onComplete();
            assertThat(f.body.toString()).isEqualTo("half whole");
            assertThat(f.finished).isTrue();
            assertThat(f.totalInFlight()).isEqualTo(0);
        }

        @Test
        void withoutASignatureAreNotPassed() {
            Exchange x = f.start(route(RouteKind.NON_IDEMPOTENT, false));
            x.onHead(unsigned(200));
            assertThat(f.head).isNull();
            assertThat(f.rejections.get(0).reason()).isEqualTo(RejectReason.ENDPOINT_FAILED);
        }

        @Test
        void failuresOfEndpointsArePassedWithTheirStatus() {
            Exchange x = f.start(route(RouteKind.NON_IDEMPOTENT, false));
            x.onHead(answer(500));
            x.onBody(bytes("error"));
            x.onComplete();
            assertThat(f.head.status()).isEqualTo(500);
            assertThat(f.finished).isTrue();
        }

        @Test
        void aFailureThatWouldPromiseNotRunIsReplaced() {
            Exchange x = f.start(route(RouteKind.NON_IDEMPOTENT, false));
            x.onHead(answer(503));
            x.onComplete();
            assertThat(f.rejections.get(0).reason().status()).isEqualTo(502);
        }
    }

    @Nested
    final class NonIdempotentRequests {
        @Test
        void areNotSentAgainAfterALostConnection() {
            Exchange x = f.start(route(RouteKind.NON_IDEMPOTENT, false));
            x.onAttemptFailed(AttemptFailure.CONNECTION_LOST);
            assertThat(f.sent).hasSize(1);
            assertThat(f.rejections.get(0).reason().status()).isEqualTo(502);
        }

        @Test
        void areSentElsewhereWhenNoConnectionWasMade() {
            Exchange x = f.start(route(RouteKind.NON_IDEMPOTENT, false));
            x.onAttemptFailed(AttemptFailure.CONNECT_REFUSED);
            assertThat(f.sent).hasSize(2);
            assertThat(f.sent.get(1).endpoint().id())
                    .isNotEqualTo(f.sent.get(0).endpoint().id());
        }

        @Test
        void areSentElsewhereWhenTheEndpointDidNotRunThem() {
            Exchange x = f.start(route(RouteKind.NON_IDEMPOTENT, false));
            x.onHead(notExecuted(503));
            assertThat(f.sent).hasSize(2);
        }

        @Test
        void areRefusedHonestlyWhenEveryEndpointRejectsThem() {
            Exchange x = f.start(route(RouteKind.NON_IDEMPOTENT, false));
            x.onHead(notExecuted(503));
            x.onHead(notExecuted(503));
            assertThat(f.rejections.get(0).reason()).isEqualTo(RejectReason.ENDPOINT_REJECTED);
            assertThat(f.rejections.get(0).retryAfterMs()).isGreaterThan(0L);
        }

        @Test
        void streamsThatBreakAreCut() {
            Exchange x = f.start(route(RouteKind.STREAMING, false));
            x.onHead(answer(200));
            x.onBody(bytes("id: 1\n\n"));
            x.onAttemptFailed(AttemptFailure.CONNECTION_LOST);
            assertThat(f.aborted).isTrue();
            assertThat(f.finished).isFalse();
        }
    }

    @Nested
    final class RepeatableRequests {
        @Test
        void areSentAgainAfterALostConnection() {
            Exchange x = f.start(route(RouteKind.IDEMPOTENT, false));
            x.onAttemptFailed(AttemptFailure.CONNECTION_LOST);
            assertThat(f.sent).hasSize(2);
        }

        @Test
        void areSentToNoMoreEndpointsThanAllowed() {
            Exchange x = f.start(route(RouteKind.IDEMPOTENT, false));
            x.onAttemptFailed(AttemptFailure.CONNECTION_LOST);
            x.onAttemptFailed(AttemptFailure.CONNECTION_LOST);
            assertThat(f.sent).hasSize(2);
            assertThat(f.rejections.get(0).reason()).isEqualTo(RejectReason.ENDPOINT_FAILED);
        }

        @Test
        void areNotSentAgainWithoutBudget() {
            ExchangeFixture poor = new ExchangeFixture(0);
            Exchange x = poor.start(route(RouteKind.IDEMPOTENT, false));
            x.onAttemptFailed(AttemptFailure.CONNECTION_LOST);
            assertThat(poor.sent).hasSize(1);
        }

        @Test
        void aSilentEndpointIsLeftForAnother() {
            Exchange x = f.start(route(RouteKind.IDEMPOTENT, false));
            f.clock.advanceMs(250);
            x.onTimer();
            assertThat(f.cancelled).isEqualTo(1);
            assertThat(f.sent).hasSize(2);
        }

        @Test
        void aStreamGoesOnAfterItsLastWholeEvent() {
            Exchange x = f.start(route(RouteKind.STREAMING, true));
            x.onHead(answer(200));
            x.onBody(bytes("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"));
            x.onAttemptFailed(AttemptFailure.CONNECTION_LOST);
            assertThat(f.sent.get(1).resumeAfter()).hasValue("2");
            x.onHead(answer(200));
            x.onBody(bytes("id: 3\ndata: c\n\n"));
            x.onComplete();
            assertThat(f.body.toString()).isEqualTo("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
            assertThat(f.finished).isTrue();
        }

        @Test
        void aStreamThatRepeatsAnEventIsCut() {
            Exchange x = f.start(route(RouteKind.STREAMING, true));
            x.onHead(answer(200));
            x.onBody(bytes("id: 1\n\nid: 2\n\n"));
            x.onAttemptFailed(AttemptFailure.CONNECTION_LOST);
            x.onHead(answer(200));
            x.onBody(bytes("id: 2\n\n"));
            assertThat(f.body.toString()).isEqualTo("id: 1\n\nid: 2\n\n");
            assertThat(f.finished).isFalse();
        }
    }

    @Nested
    final class Times {
        @Test
        void theTimeoutOfTheRouteEndsTheRequest() {
            Exchange x = f.start(route(RouteKind.NON_IDEMPOTENT, false), 60_000);
            f.clock.advanceMs(2_000);
            x.onTimer();
            assertThat(f.cancelled).isEqualTo(1);
            assertThat(f.rejections.get(0).reason().status()).isEqualTo(504);
        }

        @Test
        void endpointsGetNoMoreThanTheTimeThatIsLeft() {
            Exchange x = f.start(route(RouteKind.IDEMPOTENT, false), 1_000);
            f.clock.advanceMs(300);
            x.onAttemptFailed(AttemptFailure.CONNECTION_LOST);
            assertThat(f.sent.get(1).remainingMs()).isEqualTo(700);
        }

        @Test
        void aCallerThatLeavesCancelsTheAttempt() {
            Exchange x = f.start(route(RouteKind.STREAMING, false));
            x.onCallerDisconnected();
            assertThat(f.cancelled).isEqualTo(1);
            assertThat(f.totalInFlight()).isEqualTo(0);
            assertThat(x.ended()).isTrue();
        }
    }

    @Nested
    final class Refusals {
        @Test
        void aServiceWithoutEndpointsIsRefusedAtOnceWithATimeToReturn() {
            ExchangeFixture empty = new ExchangeFixture();
            for (int i = 1; i <= 3; i++) {
                empty.loads.onRemoved(ExchangeFixture.endpoint("e" + i));
            }
            empty.start(route(RouteKind.NON_IDEMPOTENT, false));
            assertThat(empty.sent).isEmpty();
            assertThat(empty.rejections.get(0).reason()).isEqualTo(RejectReason.NO_ENDPOINT);
            assertThat(empty.rejections.get(0).retryAfterMs()).isGreaterThan(0L);
        }
    }

    @Nested
    final class RequestsThatCrashEndpoints {
        private final ExchangeFixture f = new ExchangeFixture();

        private void loseAtThree() {
            f.fingerprint = 7;
            for (int i = 0; i < 3; i++) {
                Exchange x = f.start(route(RouteKind.NON_IDEMPOTENT, false));
                x.onAttemptFailed(AttemptFailure.CONNECTION_LOST);
                f.loads.onRemoved(f.sent.get(i).endpoint());
                f.loads.onUpdated(f.sent.get(i).endpoint());
            }
        }

        @Test
        void areRefusedAfterTheThirdWithTheTimeUntilWhichTheyAreHeld() {
            loseAtThree();
            f.start(route(RouteKind.NON_IDEMPOTENT, false));
            assertThat(f.sent).hasSize(3);
            Rejection last = f.rejections.get(f.rejections.size() - 1);
            assertThat(last.reason()).isEqualTo(RejectReason.CRASHES_ENDPOINTS);
            assertThat(last.retryAfterMs()).isGreaterThan(50_000L);
        }

        @Test
        void doNotKeepOthersFromBeingSent() {
            loseAtThree();
            f.fingerprint = 8;
            f.start(route(RouteKind.NON_IDEMPOTENT, false));
            assertThat(f.sent).hasSize(4);
        }

        @Test
        void areNotSentElsewhereOnceAnotherHostSawTheThird() {
            f.fingerprint = 7;
            f.crashes.accept(new CrashSuspect(7, Set.of("x1", "x2")), f.clock.nanos());
            Exchange x = f.start(route(RouteKind.IDEMPOTENT, false));
            x.onAttemptFailed(AttemptFailure.CONNECTION_LOST);
            assertThat(f.sent).hasSize(1);
        }
    }
}
