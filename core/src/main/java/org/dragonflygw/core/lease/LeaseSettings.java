package org.dragonflygw.core.lease;

import java.time.Duration;

/**
 * Times of leases, the same on all daemons.
 *
 * @param term time for which a lease is granted, from the moment before its write was sent
 * @param renewBefore time before the end at which the holder renews
 * @param margin time before the end from which the holder acts no more
 * @param grace time beyond the term that others wait, counted from when they first saw the row, before they take over
 */
public record LeaseSettings(Duration term, Duration renewBefore, Duration margin, Duration grace) {
    /** Leases of half a minute. */
    public static final LeaseSettings DEFAULT = new LeaseSettings(
            Duration.ofSeconds(30), Duration.ofSeconds(15), Duration.ofSeconds(5), Duration.ofSeconds(5));
}
