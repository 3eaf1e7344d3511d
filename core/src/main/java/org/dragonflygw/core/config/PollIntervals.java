package org.dragonflygw.core.config;

import java.util.Random;

/**
 * Computes the intervals between a daemon's polls of the platform's storage service. An interval is at least a given
 * time, and long enough that the polls of the whole fleet stay below a given rate. Jitter keeps the daemons from
 * polling at the same time. Not thread-safe.
 */
public final class PollIntervals {
    /** Maximum deviation from the base interval, as a share of it. */
    private static final double JITTER_SHARE = 0.2;

    private static final long MILLIS_PER_SECOND = 1000;

    private final long minMillis;
    private final int fleetPollsPerSecond;
    private final Random random;

    /**
     * Creates intervals.
     *
     * @param minMillis minimum interval before jitter, in milliseconds
     * @param fleetPollsPerSecond maximum polls per second of the whole fleet
     * @param random source of the jitter
     */
    public PollIntervals(long minMillis, int fleetPollsPerSecond, Random random) {
        this.minMillis = minMillis;
        this.fleetPollsPerSecond = fleetPollsPerSecond;
        this.random = random;
    }

    /** Time until the next poll of one daemon in a fleet of the given number of daemons, in milliseconds. */
    public long nextMillis(int fleetSize) {
        long baseMillis = Math.max(minMillis, fleetSize * MILLIS_PER_SECOND / fleetPollsPerSecond);
        return (long) (baseMillis * (1 - JITTER_SHARE + 2 * JITTER_SHARE * random.nextDouble()));
    }
}
