package org.dragonflygw.core.lease;

import java.time.Duration;

/**
 * Durations of leases. All daemons must use the same values.
 *
 * @param term time for which a lease is held, counted from before its write is sent
 * @param renewBefore time before the end of the term at which the holder renews the lease
 * @param margin time before the end of the term at which the holder stops acting under the lease
 * @param grace time beyond the term that other daemons wait, counted from when they first saw the row, before they take
 *     the lease over
 */
public record LeaseSettings(Duration term, Duration renewBefore, Duration margin, Duration grace) {
    /** Leases of 30 seconds, renewed after 15. */
    public static final LeaseSettings DEFAULT = new LeaseSettings(
            Duration.ofSeconds(30), Duration.ofSeconds(15), Duration.ofSeconds(5), Duration.ofSeconds(5));
}
