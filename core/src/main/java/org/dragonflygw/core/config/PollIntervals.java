package org.dragonflygw.core.config;

import java.util.Random;

/**
 * Times between polls of the platform's service: at least a given time, and so long that the polls of the whole fleet
 * stay under a rate; jittered so that the daemons do not poll together. Not thread-safe.
 */
public final class PollIntervals {
    private static final double JITTER = 0.2;
    private static final long MILLIS_PER_SECOND = 1000;

    private final long minMillis;
    private final int fleetPollsPerSecond;
    private final Random random;

    public PollIntervals(long minMillis, int fleetPollsPerSecond, Random random) {
        this.minMillis = minMillis;
        this.fleetPollsPerSecond = fleetPollsPerSecond;
        this.random = random;
    }

    /** Time until the next poll of a daemon in a fleet of the given size, in milliseconds. */
    public long nextMillis(int fleetSize) {
        long millis = Math.max(minMillis, fleetSize * MILLIS_PER_SECOND / fleetPollsPerSecond);
        return (long) (millis * (1 - JITTER + 2 * JITTER * random.nextDouble()));
    }
}
