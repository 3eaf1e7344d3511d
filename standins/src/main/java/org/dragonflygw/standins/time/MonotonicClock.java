package org.dragonflygw.standins.time;

/** Monotonic clock with its origin at the load of this class. */
public final class MonotonicClock {
    private static final long ORIGIN_NANOS = System.nanoTime();

    private MonotonicClock() {}

    /** Returns the nanoseconds since the origin of the clock. */
    public static long nanos() {
        return System.nanoTime() - ORIGIN_NANOS;
    }
}
