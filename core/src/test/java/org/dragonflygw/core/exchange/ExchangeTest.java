package org.dragonflygw.core.exchange;

import static com.google.common.truth.Truth.assertThat;
import static org.dragonflygw.core.exchange.ExchangeFixture.notExecutedHead;
import static org.dragonflygw.core.exchange.ExchangeFixture.route;
import static org.dragonflygw.core.exchange.ExchangeFixture.signedHead;
import static org.dragonflygw.core.exchange.ExchangeFixture.unsignedHead;

import java.nio.charset.StandardCharsets;
import java.util.Set;
import org.dragonflygw.core.catalog.RouteKind;
import org.dragonflygw.core.crash.CrashSuspect;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class ExchangeTest {
    private final ExchangeFixture f = new ExchangeFixture();

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @Nested
    final class PlainResponses {
        @Test
        void areForwardedOnlyWhenComplete() {
            StartedExchange x = f.start(route(RouteKind.NON_IDEMPOTENT, false));
            x.onHead(signedHead(200));
            x.onBody(bytes("half"));
            assertThat(f.head).isNull();
            x.onBody(bytes(" whole"));
            x.onComplete();
            assertThat(f.body.toString()).isEqualTo("half whole");
            assertThat(f.finished).isTrue();
            assertThat(f.totalInFlight()).isEqualTo(0);
        }

        @Test
        void withoutSignatureAreNotForwarded() {
            StartedExchange x = f.start(route(RouteKind.NON_IDEMPOTENT, false));
            x.onHead(unsignedHead(200));
            assertThat(f.head).isNull();
            assertThat(f.rejections.get(0).reason()).isEqualTo(RejectReason.ENDPOINT_FAILED);
        }

        @Test
        void withAnErrorStatusAreForwarded() {
            StartedExchange x = f.start(route(RouteKind.NON_IDEMPOTENT, false));
            x.onHead(signedHead(500));
            x.onBody(bytes("error"));
            x.onComplete();
            assertThat(f.head.status()).isEqualTo(500);
            assertThat(f.finished).isTrue();
        }

        @Test
        void withAStatusThatImpliesNotExecutedAreReplaced() {
            StartedExchange x = f.start(route(RouteKind.NON_IDEMPOTENT, false));
            x.onHead(signedHead(503));
            x.onComplete();
            assertThat(f.rejections.get(0).reason().status()).isEqualTo(502);
        }
    }

    @Nested
    final class NonIdempotentRequests {
        @Test
        void areNotRetriedAfterALostConnection() {
            StartedExchange x = f.start(route(RouteKind.NON_IDEMPOTENT, false));
            x.onAttemptFailed(AttemptFailure.CONNECTION_LOST);
            assertThat(f.sent).hasSize(1);
            assertThat(f.rejections.get(0).reason().status()).isEqualTo(502);
        }

        @Test
        void areRetriedAtAnotherEndpointWhenTheConnectionIsRefused() {
            StartedExchange x = f.start(route(RouteKind.NON_IDEMPOTENT, false));
            x.onAttemptFailed(AttemptFailure.CONNECT_REFUSED);
            assertThat(f.sent).hasSize(2);
            assertThat(f.sent.get(1).endpoint().id())
                    .isNotEqualTo(f.sent.get(0).endpoint().id());
        }

        @Test
        void areRetriedWhenTheEndpointDidNotRunThem() {
            StartedExchange x = f.start(route(RouteKind.NON_IDEMPOTENT, false));
            x.onHead(notExecutedHead(503));
            assertThat(f.sent).hasSize(2);
        }

        @Test
        void areRejectedWithARetryTimeWhenEndpointsRejectThem() {
            StartedExchange x = f.start(route(RouteKind.NON_IDEMPOTENT, false));
            x.onHead(notExecutedHead(503));
            x.onHead(notExecutedHead(503));
            assertThat(f.rejections.get(0).reason()).isEqualTo(RejectReason.ENDPOINT_REJECTED);
            assertThat(f.rejections.get(0).retryAfterMs()).isGreaterThan(0L);
        }

        @Test
        void areAbortedWhenTheirStreamBreaks() {
            StartedExchange x = f.start(route(RouteKind.STREAMING, false));
            x.onHead(signedHead(200));
            x.onBody(bytes("id: 1\n\n"));
            x.onAttemptFailed(AttemptFailure.CONNECTION_LOST);
            assertThat(f.aborted).isTrue();
            assertThat(f.finished).isFalse();
        }
    }

    @Nested
    final class RepeatableRequests {
        @Test
        void areRetriedAfterALostConnection() {
            StartedExchange x = f.start(route(RouteKind.IDEMPOTENT, false));
            x.onAttemptFailed(AttemptFailure.CONNECTION_LOST);
            assertThat(f.sent).hasSize(2);
        }

        @Test
        void areNotRetriedBeyondTheMaximumOfAttempts() {
            StartedExchange x = f.start(route(RouteKind.IDEMPOTENT, false));
            x.onAttemptFailed(AttemptFailure.CONNECTION_LOST);
            x.onAttemptFailed(AttemptFailure.CONNECTION_LOST);
            assertThat(f.sent).hasSize(2);
            assertThat(f.rejections.get(0).reason()).isEqualTo(RejectReason.ENDPOINT_FAILED);
        }

        @Test
        void areNotRetriedWithoutRetryBudget() {
            ExchangeFixture withoutBudget = new ExchangeFixture(0);
            StartedExchange x = withoutBudget.start(route(RouteKind.IDEMPOTENT, false));
            x.onAttemptFailed(AttemptFailure.CONNECTION_LOST);
            assertThat(withoutBudget.sent).hasSize(1);
        }

        @Test
        void areRetriedWhenTheEndpointIsSilent() {
            StartedExchange x = f.start(route(RouteKind.IDEMPOTENT, false));
            f.clock.advanceMs(250);
            x.onTimer();
            assertThat(f.sent).hasSize(2);
            assertThat(f.cancelled).isEqualTo(0);
            x.onHead(signedHead(200));
            x.onBody(bytes("body"));
            x.onComplete();
            assertThat(f.finished).isTrue();
            assertThat(f.cancelled).isEqualTo(1);
        }

        /** Guards against callers who lose an answer that was only late, because no retry was left to replace it. */
        @Test
        void keepASilentAttemptWhileNoRetryIsLeft() {
            ExchangeFixture withoutBudget = new ExchangeFixture(0);
            StartedExchange x = withoutBudget.start(route(RouteKind.IDEMPOTENT, false));
            withoutBudget.clock.advanceMs(250);
            x.onTimer();
            assertThat(withoutBudget.cancelled).isEqualTo(0);
            x.onHead(signedHead(200));
            x.onBody(bytes("late"));
            x.onComplete();
            assertThat(withoutBudget.finished).isTrue();
        }

        @Test
        void doNotWakeAgainAtOnceWhileASilentAttemptIsKept() {
            ExchangeFixture withoutBudget = new ExchangeFixture(0);
            StartedExchange x = withoutBudget.start(route(RouteKind.IDEMPOTENT, false));
            withoutBudget.clock.advanceMs(250);
            x.onTimer();
            assertThat(withoutBudget.wakeNanos - withoutBudget.clock.nanos()).isAtLeast(100_000_000L);
        }

        @Test
        void doNotWakeForSilenceAfterTheLastAttempt() {
            StartedExchange x = f.start(route(RouteKind.IDEMPOTENT, false));
            x.onAttemptFailed(AttemptFailure.CONNECTION_LOST);
            assertThat(f.wakeNanos - f.clock.nanos()).isEqualTo(1_500_000_000L);
        }

        @Test
        void resumeTheirStreamAfterTheLastCompleteEvent() {
            StartedExchange x = f.start(route(RouteKind.STREAMING, true));
            x.onHead(signedHead(200));
            x.onBody(bytes("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"));
            x.onAttemptFailed(AttemptFailure.CONNECTION_LOST);
            assertThat(f.sent.get(1).resumeAfter()).hasValue("2");
            x.onHead(signedHead(200));
            x.onBody(bytes("id: 3\ndata: c\n\n"));
            x.onComplete();
            assertThat(f.body.toString()).isEqualTo("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
            assertThat(f.finished).isTrue();
        }

        @Test
        void doNotForwardAnEventThatTheNextEndpointRepeats() {
            StartedExchange x = f.start(route(RouteKind.STREAMING, true));
            x.onHead(signedHead(200));
            x.onBody(bytes("id: 1\n\nid: 2\n\n"));
            x.onAttemptFailed(AttemptFailure.CONNECTION_LOST);
            x.onHead(signedHead(200));
            x.onBody(bytes("id: 2\n\n"));
            assertThat(f.body.toString()).isEqualTo("id: 1\n\nid: 2\n\n");
            assertThat(f.finished).isFalse();
        }
    }

    /** Guards against callers who get a 502 of this host in place of the error that an endpoint has answered. */
    @Nested
    final class ErrorsOfEndpoints {
        private StartedExchange failAtTheFirst() {
            StartedExchange x = f.start(route(RouteKind.IDEMPOTENT, false));
            x.onHead(signedHead(500));
            x.onBody(bytes("error"));
            return x;
        }

        private void assertForwarded() {
            assertThat(f.rejections).isEmpty();
            assertThat(f.head.status()).isEqualTo(500);
            assertThat(f.body.toString()).isEqualTo("error");
            assertThat(f.finished).isTrue();
        }

        @Test
        void areForwardedWhenNobodyElseCanServe() {
            StartedExchange x = failAtTheFirst();
            for (int i = 1; i <= 3; i++) {
                f.loads.onRemoved(ExchangeFixture.endpoint("e" + i));
            }
            x.onComplete();
            assertForwarded();
        }

        @Test
        void areForwardedWhenAllOthersTurnTheRequestAway() {
            StartedExchange x = failAtTheFirst();
            x.onComplete();
            x.onHead(notExecutedHead(503));
            x.onHead(notExecutedHead(503));
            assertForwarded();
        }

        @Test
        void areForwardedWhenNoConnectionCanBeOpened() {
            StartedExchange x = failAtTheFirst();
            x.onComplete();
            x.onAttemptFailed(AttemptFailure.CONNECT_REFUSED);
            x.onAttemptFailed(AttemptFailure.CONNECT_REFUSED);
            assertForwarded();
        }

        @Test
        void areForwardedWhenTheNextAttemptIsLost() {
            StartedExchange x = failAtTheFirst();
            x.onComplete();
            x.onAttemptFailed(AttemptFailure.CONNECTION_LOST);
            assertForwarded();
        }

        @Test
        void areForwardedAtTheDeadline() {
            StartedExchange x = failAtTheFirst();
            x.onComplete();
            f.clock.advanceMs(1_500);
            x.onTimer();
            assertForwarded();
            assertThat(f.cancelled).isEqualTo(1);
        }

        @Test
        void areForwardedWhenTheProcessExits() {
            StartedExchange x = failAtTheFirst();
            x.onComplete();
            x.onStopping();
            assertForwarded();
        }

        @Test
        void giveWayToALaterSuccess() {
            StartedExchange x = failAtTheFirst();
            x.onComplete();
            x.onHead(signedHead(200));
            x.onBody(bytes("whole"));
            x.onComplete();
            assertThat(f.head.status()).isEqualTo(200);
            assertThat(f.body.toString()).isEqualTo("whole");
        }

        @Test
        void thatSayNotRunAreReplacedSinceTheRequestMayHaveRun() {
            StartedExchange x = f.start(route(RouteKind.IDEMPOTENT, false));
            x.onHead(signedHead(503));
            x.onComplete();
            x.onAttemptFailed(AttemptFailure.CONNECTION_LOST);
            assertThat(f.rejections.get(0).reason().status()).isEqualTo(502);
        }
    }

    @Nested
    final class Deadlines {
        @Test
        void requestIsCancelledAtTheTimeoutOfItsRoute() {
            StartedExchange x = f.start(route(RouteKind.NON_IDEMPOTENT, false), 60_000);
            f.clock.advanceMs(2_000);
            x.onTimer();
            assertThat(f.cancelled).isEqualTo(1);
            assertThat(f.rejections.get(0).reason().status()).isEqualTo(504);
        }

        @Test
        void retriesGetOnlyTheRemainingTime() {
            StartedExchange x = f.start(route(RouteKind.IDEMPOTENT, false), 1_000);
            f.clock.advanceMs(300);
            x.onAttemptFailed(AttemptFailure.CONNECTION_LOST);
            assertThat(f.sent.get(1).remainingMs()).isEqualTo(700);
        }

        @Test
        void disconnectOfTheCallerCancelsTheAttempt() {
            StartedExchange x = f.start(route(RouteKind.STREAMING, false));
            x.onCallerDisconnected();
            assertThat(f.cancelled).isEqualTo(1);
            assertThat(f.totalInFlight()).isEqualTo(0);
            assertThat(x.ended()).isTrue();
        }
    }

    @Nested
    final class Rejections {
        @Test
        void serviceWithoutEndpointsIsRejectedWithARetryTime() {
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

        private void loseConnectionsToThreeEndpoints() {
            f.fingerprint = 7;
            for (int i = 0; i < 3; i++) {
                StartedExchange x = f.start(route(RouteKind.NON_IDEMPOTENT, false));
                x.onAttemptFailed(AttemptFailure.CONNECTION_LOST);
                f.loads.onRemoved(f.sent.get(i).endpoint());
                f.loads.onUpdated(f.sent.get(i).endpoint());
            }
        }

        @Test
        void areRejectedWithTheBlockTimeAfterThreeLostEndpoints() {
            loseConnectionsToThreeEndpoints();
            f.start(route(RouteKind.NON_IDEMPOTENT, false));
            assertThat(f.sent).hasSize(3);
            Rejection last = f.rejections.get(f.rejections.size() - 1);
            assertThat(last.reason()).isEqualTo(RejectReason.CRASHES_ENDPOINTS);
            assertThat(last.retryAfterMs()).isGreaterThan(50_000L);
        }

        @Test
        void doNotBlockOtherRequests() {
            loseConnectionsToThreeEndpoints();
            f.fingerprint = 8;
            f.start(route(RouteKind.NON_IDEMPOTENT, false));
            assertThat(f.sent).hasSize(4);
        }

        @Test
        void areNotRetriedWhenOtherHostsReportedTwoLostEndpoints() {
            f.fingerprint = 7;
            f.crashes.accept(new CrashSuspect(7, Set.of("x1", "x2"), 0), f.clock.nanos());
            StartedExchange x = f.start(route(RouteKind.IDEMPOTENT, false));
            x.onAttemptFailed(AttemptFailure.CONNECTION_LOST);
            assertThat(f.sent).hasSize(1);
        }
    }
}
