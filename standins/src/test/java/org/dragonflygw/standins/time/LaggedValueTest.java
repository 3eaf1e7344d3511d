package org.dragonflygw.standins.time;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.time.ZoneOffset;
import org.junit.jupiter.api.Test;
import org.threeten.extra.MutableClock;

final class LaggedValueTest {
    private final MutableClock clock = MutableClock.of(Instant.EPOCH, ZoneOffset.UTC);
    private final LaggedValue<Integer> value = new LaggedValue<>(clock, Duration.ofSeconds(2), 0);

    @Test
    void readReturnsTheValueFromBeforeTheLag() {
        for (int second = 1; second <= 5; second++) {
            clock.add(Duration.ofSeconds(1));
            value.set(second);
        }

        assertThat(value.latest()).isEqualTo(5);
        assertThat(value.read()).isEqualTo(3);
        clock.add(Duration.ofMillis(999));
        assertThat(value.read()).isEqualTo(3);
        clock.add(Duration.ofMillis(1));
        assertThat(value.read()).isEqualTo(4);
    }

    @Test
    void shorterLagShowsNewerValuesAtOnce() {
        value.set(1);
        assertThat(value.read()).isEqualTo(0);

        value.setLag(Duration.ZERO);

        assertThat(value.read()).isEqualTo(1);
    }
}
