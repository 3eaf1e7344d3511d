package org.dragonflygw.core.ratelimit;

/**
 * Time for which an instance of an endpoint is cold.
 *
 * @param untilNanos end on this host's monotonic clock
 * @param perSecond requests per second that the instance tolerates from all hosts until then
 * @param source what told the end
 */
public record ColdPeriod(long untilNanos, double perSecond, ColdSource source) {
    private static final long NANOS_PER_MS = 1_000_000;

    /** Returns the remaining time in milliseconds, rounded up; 0 after the end. */
    public long leftMs(long nowNanos) {
        return Math.max(0, (untilNanos - nowNanos + NANOS_PER_MS - 1) / NANOS_PER_MS);
    }
}
