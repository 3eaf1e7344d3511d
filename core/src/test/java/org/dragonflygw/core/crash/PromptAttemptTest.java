package org.dragonflygw.core.crash;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class PromptAttemptTest {
    private final EndpointAttempts endpoint = new EndpointAttempts("e1#1", 0);
    private final PromptAttempt attempt = new PromptAttempt(List.of(7L), endpoint, ms(500));

    private static long ms(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    @Nested
    final class LostConnection {
        @Test
        void tellsWhenTheEndpointEnded() {
            attempt.lose(ms(900));
            assertThat(attempt.lossNanos(ms(5_000))).hasValue(ms(900));
        }

        @Test
        void tellsNothingIfTheEndpointWasHeardLater() {
            attempt.lose(ms(900));
            endpoint.onHeard(ms(1_300));
            assertThat(attempt.lossNanos(ms(5_000))).isEmpty();
        }

        /** Guards against a successor at the same address that hides the end. */
        @Test
        void isHeldAgainstAnEndpointWhoseAddressAcceptsOnlyIfAnotherHasTakenIt() {
            attempt.lose(ms(900));
            attempt.onAddressAccepted();
            assertThat(attempt.lossNanos(ms(5_000))).isEmpty();
            endpoint.onAddressTaken();
            assertThat(attempt.lossNanos(ms(5_000))).hasValue(ms(900));
        }
    }

    @Nested
    final class SilentEndpoint {
        @Test
        void endedWhenItWasHeardLast() {
            endpoint.onHeard(ms(700));
            assertThat(attempt.lossNanos(ms(1_000))).isEmpty();
            assertThat(attempt.lossNanos(ms(1_700))).hasValue(ms(700));
        }

        /** Guards against prompts that are sent to an endpoint which has ended already. */
        @Test
        void isNoReasonIfItWasSilentBeforeTheRequest() {
            PromptAttempt late = new PromptAttempt(List.of(7L), endpoint, ms(2_100));
            assertThat(late.lossNanos(ms(9_000))).isEmpty();
        }

        @Test
        void isNoReasonIfItGoesOnAfterTheAttempt() {
            attempt.giveUp(ms(1_500));
            endpoint.onHeard(ms(1_900));
            assertThat(attempt.lossNanos(ms(9_000))).isEmpty();
        }
    }
}
