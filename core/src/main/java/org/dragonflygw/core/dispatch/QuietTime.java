package org.dragonflygw.core.dispatch;

/**
 * Time for which an endpoint wants no requests of this host. Afterwards requests are let in a few at a time, since all
 * those that waited would otherwise come together. Not thread-safe.
 */
final class QuietTime {
    /** Time after the end over which requests are let in gradually, in nanoseconds. */
    private static final long RAMP_NANOS = 1_000_000_000L;

    /** Time after which one more request in flight is let in, in nanoseconds. */
    private static final long RAMP_STEP_NANOS = 100_000_000L;

    private boolean asked;
    private long endNanos;

    /** Records that the endpoint wants no requests until a monotonic time; an earlier end changes nothing. */
    void extend(long untilNanos) {
        if (!asked || untilNanos > endNanos) {
            endNanos = untilNanos;
        }
        asked = true;
    }

    /** Returns the time that is left, in nanoseconds, or 0. */
    long remainingNanos(long nowNanos) {
        return asked ? Math.max(0, endNanos - nowNanos) : 0;
    }

    /** Returns how many requests of this host may be in flight. */
    int maxInFlight(long nowNanos) {
        if (!asked || nowNanos - endNanos >= RAMP_NANOS) {
            return Integer.MAX_VALUE;
        }
        return nowNanos < endNanos ? 0 : 1 + (int) ((nowNanos - endNanos) / RAMP_STEP_NANOS);
    }
}
