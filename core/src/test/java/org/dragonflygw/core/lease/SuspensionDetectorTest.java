package org.dragonflygw.core.lease;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.time.ZoneOffset;
import org.dragonflygw.core.ManualMonotonicClock;
import org.junit.jupiter.api.Test;
import org.threeten.extra.MutableClock;

final class SuspensionDetectorTest {
    private final ManualMonotonicClock clock = new ManualMonotonicClock();
    private final MutableClock wallClock = MutableClock.of(Instant.ofEpochSecond(1_000), ZoneOffset.UTC);
    private final SuspensionDetector detector = new SuspensionDetector(clock, wallClock);

    @Test
    void clocksThatRunTogetherAreNoSuspension() {
        clock.advanceMs(60_000);
        wallClock.add(Duration.ofMillis(60_300));
        assertThat(detector.wasSuspended()).isFalse();
    }

    @Test
    void wallClockThatRanAloneIsOneSuspension() {
        wallClock.add(Duration.ofMillis(900));
        assertThat(detector.wasSuspended()).isTrue();
        assertThat(detector.wasSuspended()).isFalse();
    }
}
