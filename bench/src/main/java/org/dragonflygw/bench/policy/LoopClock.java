package org.dragonflygw.bench.policy;

import java.time.Instant;
import java.time.InstantSource;

/** Time of the loop. */
final class LoopClock implements InstantSource {
    private static final long START_MILLIS = 1_000_000_000_000L;

    private long millis;

    @Override
    public Instant instant() {
        return Instant.ofEpochMilli(START_MILLIS + millis);
    }

    long now() {
        return millis;
    }

    void set(long newMillis) {
        millis = newMillis;
    }
}
