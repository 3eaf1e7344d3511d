package org.dragonflygw.standins.time;

/** Nanoseconds since the start of the process; never goes back. */
public final class MonotonicClock {
    private static final long ORIGIN_NANOS = System.nanoTime();

    private MonotonicClock() {}

    /** Nanoseconds since the start. */
    public static long nanos() {
        return System.nanoTime() - ORIGIN_NANOS;
    }
}
