package org.dragonflygw.core;

import java.util.concurrent.TimeUnit;
import org.dragonflygw.core.lease.MonotonicClock;

/** A monotonic clock that tests advance. */
public final class ManualMonotonicClock implements MonotonicClock {
    private long nanos = TimeUnit.SECONDS.toNanos(1_000);

    @Override
    public long nanos() {
        return nanos;
    }

    /** Lets time pass. */
    public void advanceMs(long ms) {
        nanos += TimeUnit.MILLISECONDS.toNanos(ms);
    }
}
