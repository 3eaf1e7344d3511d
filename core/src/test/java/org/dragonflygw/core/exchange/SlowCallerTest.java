package org.dragonflygw.core.exchange;

import static com.google.common.truth.Truth.assertThat;
import static org.dragonflygw.core.exchange.ExchangeFixture.route;
import static org.dragonflygw.core.exchange.ExchangeFixture.signedHead;

import java.nio.charset.StandardCharsets;
import org.dragonflygw.core.catalog.RouteKind;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Callers that read slowly, so that this host stops reading the endpoint's response meanwhile. Guards against taking the
 * endpoint for silent: its sound stream was replaced by one of another endpoint, or ended.
 */
final class SlowCallerTest {
    /** Longer than the silence after which a stream is replaced, shorter than the deadline. */
    private static final long LONG_MS = 1_100;

    private final ExchangeFixture f = new ExchangeFixture();

    private StartedExchange startStream() {
        StartedExchange x = f.start(route(RouteKind.STREAMING, true));
        x.onHead(signedHead(200));
        x.onBody(event(1));
        return x;
    }

    private static byte[] event(int id) {
        return ("id: " + id + "\ndata: x\n\n").getBytes(StandardCharsets.UTF_8);
    }

    private void advance(StartedExchange x) {
        f.clock.advanceMs(LONG_MS);
        x.onTimer();
    }

    @Nested
    final class WhileReadingIsPaused {
        @Test
        void keepsTheStreamOfTheEndpoint() {
            StartedExchange x = startStream();
            x.onOutputPaused();
            advance(x);
            assertThat(f.sent).hasSize(1);
            assertThat(f.aborted).isFalse();
        }

        @Test
        void endsAtTheTimeOfTheRoute() {
            StartedExchange x = startStream();
            x.onOutputPaused();
            f.clock.advanceMs(60_000);
            x.onTimer();
            assertThat(f.aborted).isTrue();
            assertThat(x.ended()).isTrue();
        }

        @Test
        void leavesTheEndpointFreeOfSuspicion() {
            StartedExchange x = startStream();
            x.onOutputPaused();
            advance(x);
            assertThat(f.crashes.count()).isEqualTo(0);
        }
    }

    @Nested
    final class AfterReadingGoesOn {
        @Test
        void countsSilenceFromThen() {
            StartedExchange x = startStream();
            x.onOutputPaused();
            advance(x);
            x.onOutputResumed();
            x.onTimer();
            assertThat(f.sent).hasSize(1);
            x.onBody(event(2));
            x.onComplete();
            assertThat(f.finished).isTrue();
        }

        @Test
        void replacesAnEndpointThatIsSilentThen() {
            StartedExchange x = startStream();
            x.onOutputPaused();
            x.onOutputResumed();
            advance(x);
            assertThat(f.sent).hasSize(2);
        }
    }
}
