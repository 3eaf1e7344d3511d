package org.dragonflygw.core.admission;

/** Rate of events, smoothed over the last seconds. Not thread-safe. */
final class EventRate {
    /** Time over which events are averaged, in nanoseconds; a small host ends a request about once a second. */
    private static final double SMOOTHING_NANOS = 3e9;

    private static final double NANOS_PER_S = 1e9;

    private double count;
    private long updatedNanos;

    void onEvent(long nowNanos) {
        count = decayed(nowNanos) + 1;
        updatedNanos = nowNanos;
    }

    /** Returns the number of events per second. */
    double perSecond(long nowNanos) {
        return decayed(nowNanos) / SMOOTHING_NANOS * NANOS_PER_S;
    }

    /** Starts with a rate that is known otherwise. */
    void startAt(double perSecond, long nowNanos) {
        count = perSecond * SMOOTHING_NANOS / NANOS_PER_S;
        updatedNanos = nowNanos;
    }

    void clear() {
        count = 0;
    }

    private double decayed(long nowNanos) {
        return count == 0 ? 0 : count * Math.exp((updatedNanos - nowNanos) / SMOOTHING_NANOS);
    }
}
