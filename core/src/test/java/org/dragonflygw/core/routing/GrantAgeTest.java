package org.dragonflygw.core.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class GrantAgeTest {
    private static final long ASKED_NANOS = TimeUnit.HOURS.toNanos(5);

    private static boolean mayDispatch(long queuedMillis, long elapsedMillis) {
        long now = ASKED_NANOS + TimeUnit.MILLISECONDS.toNanos(elapsedMillis);
        return new GrantAge(ASKED_NANOS, queuedMillis).mayDispatch(now);
    }

    @Test
    void allowsGrantBelowMaxAge() {
        assertThat(mayDispatch(0, 999)).isTrue();
    }

    @Test
    void refusesGrantAtMaxAge() {
        assertThat(mayDispatch(0, 1_000)).isFalse();
    }

    @Test
    void excludesQueueTimeFromTheAge() {
        assertThat(mayDispatch(8_000, 8_500)).isTrue();
        assertThat(mayDispatch(8_000, 9_000)).isFalse();
    }
}
