package org.dragonflygw.core;

import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.TimeUnit;
import org.dragonflygw.core.lease.MonotonicClock;

/** Monotonic clock that a test advances by hand, and a wall clock that runs with it. */
public final class ManualMonotonicClock implements MonotonicClock, InstantSource {
    private long nanos = TimeUnit.SECONDS.toNanos(1_000);

    @Override
    public long nanos() {
        return nanos;
    }

    @Override
    public Instant instant() {
        return Instant.ofEpochMilli(TimeUnit.NANOSECONDS.toMillis(nanos));
    }

    /** Advances the clock by a number of milliseconds. */
    public void advanceMs(long ms) {
        nanos += TimeUnit.MILLISECONDS.toNanos(ms);
    }
}
