package org.dragonflygw.core.retry;

import static com.google.common.truth.Truth.assertThat;

import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import org.dragonflygw.core.ManualMonotonicClock;
import org.dragonflygw.core.lease.SuspensionDetector;
import org.dragonflygw.core.settings.RetryBounds;
import org.junit.jupiter.api.Test;

final class FleetRetryShareTest {
    private static final long WINDOW = TimeUnit.SECONDS.toNanos(10);

    private final ManualMonotonicClock clock = new ManualMonotonicClock();

    private static int countRetries(FleetRetryShare share, long now) {
        int n = 0;
        while (n < 1_000 && share.tryRetry("s", now).granted()) {
            n++;
        }
        return n;
    }

    @Test
    void allHostsTogetherStayWithinTheBudget() {
        int hosts = 6;
        int total = 0;
        for (int h = 0; h < hosts; h++) {
            FleetRetryShare share = new FleetRetryShare(
                    () -> new RetryBounds(0.2, 52, WINDOW),
                    () -> OptionalInt.of(hosts),
                    new SuspensionDetector(clock, clock),
                    -WINDOW);
            for (int i = 0; i < 100; i++) {
                share.onRequest("s", 0);
            }
            total += countRetries(share, 1);
        }
        assertThat(total).isAtMost((int) (0.2 * 600 + 52));
        assertThat(total).isAtLeast((int) (0.7 * (0.2 * 600 + 52)));
    }

    @Test
    void retriesAreAllowedAgainAfterTheWindow() {
        FleetRetryShare share = new FleetRetryShare(
                () -> new RetryBounds(0, 10, WINDOW),
                () -> OptionalInt.of(1),
                new SuspensionDetector(clock, clock),
                -WINDOW);
        assertThat(countRetries(share, 0)).isEqualTo(8);
        assertThat(countRetries(share, WINDOW / 2)).isEqualTo(0);
        assertThat(countRetries(share, WINDOW + 1)).isEqualTo(8);
    }

    @Test
    void servicesDoNotShareABudget() {
        FleetRetryShare share = new FleetRetryShare(
                () -> new RetryBounds(0, 2, WINDOW),
                () -> OptionalInt.of(1),
                new SuspensionDetector(clock, clock),
                -WINDOW);
        assertThat(share.tryRetry("a", 0).granted()).isTrue();
        assertThat(share.tryRetry("b", 0).granted()).isTrue();
    }

    @Test
    void aProcessThatHasJustStartedRetriesAFewOfItsRequests() {
        FleetRetryShare share = new FleetRetryShare(
                () -> new RetryBounds(0.2, 52, WINDOW),
                () -> OptionalInt.of(1),
                new SuspensionDetector(clock, clock),
                0);
        for (int i = 0; i < 100; i++) {
            share.onRequest("s", 1);
        }
        assertThat(countRetries(share, WINDOW - 1)).isEqualTo(2);
        for (int i = 0; i < 100; i++) {
            share.onRequest("s", WINDOW - 1);
        }
        assertThat(countRetries(share, WINDOW)).isEqualTo(55);
    }
}
