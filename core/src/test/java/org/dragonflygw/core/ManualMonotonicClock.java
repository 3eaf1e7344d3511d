package org.dragonflygw.core;

import java.util.concurrent.TimeUnit;
import org.dragonflygw.core.lease.MonotonicClock;

/** Monotonic clock that a test advances by hand. */
public final class ManualMonotonicClock implements MonotonicClock {
    private long nanos = TimeUnit.SECONDS.toNanos(1_000);

    @Override
    public long nanos() {
        return nanos;
    }

    /** Advances the clock by a number of milliseconds. */
    public void advanceMs(long ms) {
        nanos += TimeUnit.MILLISECONDS.toNanos(ms);
    }
}
