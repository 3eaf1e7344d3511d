package org.dragonflygw.core.lease;

import java.time.InstantSource;

/**
 * Detects that this host was suspended. The monotonic clock stops while a host is suspended, but the wall clock does not,
 * so the two drift apart. A step of the wall clock looks the same and is taken for a suspension. Not thread-safe.
 */
public final class SuspensionDetector {
    /** Smallest drift that counts, in milliseconds; larger than ordinary adjustments of the wall clock. */
    private static final long MIN_DRIFT_MS = 400;

    private static final long NANOS_PER_MS = 1_000_000;

    private final MonotonicClock clock;
    private final InstantSource wallClock;
    private long wallClockOffsetMs;

    /** Creates a detector that compares the clocks from now on. */
    public SuspensionDetector(MonotonicClock clock, InstantSource wallClock) {
        this.clock = clock;
        this.wallClock = wallClock;
        this.wallClockOffsetMs = wallClockOffsetMs();
    }

    /** Returns whether the host was suspended, or its wall clock was stepped, since the last call. */
    public boolean wasSuspended() {
        long offset = wallClockOffsetMs();
        if (Math.abs(offset - wallClockOffsetMs) <= MIN_DRIFT_MS) {
            return false;
        }
        wallClockOffsetMs = offset;
        return true;
    }

    private long wallClockOffsetMs() {
        return wallClock.instant().toEpochMilli() - clock.nanos() / NANOS_PER_MS;
    }
}
