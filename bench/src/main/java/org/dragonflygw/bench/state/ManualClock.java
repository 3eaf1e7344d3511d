package org.dragonflygw.bench.state;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;

/** Clock that advances only by {@link #advance}. */
final class ManualClock implements InstantSource {
    private Instant now = Instant.ofEpochMilli(1_800_000_000_000L);

    @Override
    public Instant instant() {
        return now;
    }

    void advance(Duration step) {
        now = now.plus(step);
    }
}
