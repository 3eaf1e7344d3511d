package org.dragonflygw.core.exchange;

import static com.google.common.truth.Truth.assertThat;
import static org.dragonflygw.core.exchange.ExchangeFixture.route;
import static org.dragonflygw.core.exchange.ExchangeFixture.signedHead;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.dragonflygw.core.catalog.RouteKind;
import org.dragonflygw.core.discovery.DiscoveredEndpoint;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Streams that are slow, stalled, or run at an endpoint that is missing from the list for a while. Guards against cutting
 * or repeating work that goes on, and against waiting for an event that never ends.
 */
final class SlowStreamTest {
    /** Longer than the target for the gap between events, shorter than the silence after which a stream is replaced. */
    private static final long SLOW_GAP_MS = 900;

    private static final long TRICKLE_MS = 200;
    private static final long DEADLINE_MS = 1_900;

    private final ExchangeFixture f = new ExchangeFixture();

    private StartedExchange startStream() {
        StartedExchange x = f.start(route(RouteKind.STREAMING, true), DEADLINE_MS);
        x.onHead(signedHead(200));
        x.onBody(event(1));
        return x;
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static byte[] event(int id) {
        return bytes("id: " + id + "\ndata: x\n\n");
    }

    private void pass(StartedExchange x, long ms) {
        f.clock.advanceMs(ms);
        x.onTimer();
    }

    @Nested
    final class SlowEvents {
        @Test
        void areNotCut() {
            StartedExchange x = startStream();
            pass(x, SLOW_GAP_MS);
            x.onBody(event(2));
            pass(x, SLOW_GAP_MS);
            x.onBody(event(3));
            x.onComplete();
            assertThat(f.sent).hasSize(1);
            assertThat(f.finished).isTrue();
        }

        @Test
        void inPartsAreNotCut() {
            StartedExchange x = startStream();
            for (int id = 2; id < 8; id++) {
                x.onBody(bytes("id: " + id + "\nda"));
                pass(x, TRICKLE_MS);
                x.onBody(bytes("ta: x\n\n"));
            }
            x.onComplete();
            assertThat(f.sent).hasSize(1);
            assertThat(f.finished).isTrue();
        }
    }

    @Nested
    final class AStalledStreamThatSendsAByteNowAndThen {
        @Test
        void isReplaced() {
            StartedExchange x = startStream();
            for (int i = 0; i < 6 && f.sent.size() == 1; i++) {
                x.onBody(bytes("x"));
                pass(x, TRICKLE_MS);
            }
            assertThat(f.sent).hasSize(2);
            assertThat(f.sent.get(1).resumeAfter()).isEqualTo(Optional.of("1"));
        }

        @Test
        void endsAtTheDeadlineWhereItCannotBeReplaced() {
            StartedExchange x = f.start(route(RouteKind.STREAMING, false), DEADLINE_MS);
            x.onHead(signedHead(200));
            for (int i = 0; i < 10; i++) {
                x.onBody(bytes("x"));
                pass(x, TRICKLE_MS);
            }
            assertThat(f.sent).hasSize(1);
            assertThat(f.aborted).isTrue();
        }
    }

    @Nested
    final class AnEndpointThatIsMissingFromTheListForAWhile {
        @Test
        void finishesItsRequests() {
            StartedExchange x = startStream();
            DiscoveredEndpoint entry = f.sent.get(0).endpoint();
            f.loads.onRemoved(entry);
            x.onBody(event(2));
            f.loads.onUpdated(entry);
            x.onBody(event(3));
            x.onComplete();
            assertThat(f.sent).hasSize(1);
            assertThat(f.finished).isTrue();
        }
    }
}
