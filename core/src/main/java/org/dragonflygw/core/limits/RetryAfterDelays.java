package org.dragonflygw.core.limits;

import java.util.random.RandomGenerator;

/**
 * Computes the delay after which a rejected caller should retry. Delays are random and uniformly distributed over the
 * time in which slots become free, so that rejected callers do not all retry at once.
 */
public final class RetryAfterDelays {
    /** Shortest delay in milliseconds. A shorter one would let the caller retry into the same overload. */
    private static final long MIN_DELAY_MS = 100;

    /** Range of the random part of the delay, in milliseconds. */
    private static final long JITTER_MS = 900;

    /** Largest share of the remaining time, so that the retry still has time to be served. */
    private static final double MAX_SHARE_OF_REMAINING = 0.3;

    private final RandomGenerator random;

    public RetryAfterDelays(RandomGenerator random) {
        this.random = random;
    }

    /**
     * Returns the delay until a caller should retry whom no endpoint can serve before the given time, in milliseconds.
     * Callers come back over the time in which the endpoints take more and more requests again.
     *
     * @param waitMs time until an endpoint takes requests, in milliseconds
     */
    public long afterMs(long waitMs) {
        return waitMs + MIN_DELAY_MS + (long) (random.nextDouble() * JITTER_MS);
    }

    /**
     * Returns the delay until the caller should retry, in milliseconds: when room is expected, with up to as much again
     * at random, and within the part of the remaining time that lets the retry be served.
     *
     * @param roomMs time until room is expected, in milliseconds
     * @param remainingMs time that the caller still waits, in milliseconds
     */
    public long whenRoomMs(long roomMs, long remainingMs) {
        double longestMs = Math.min(Math.max(MIN_DELAY_MS, roomMs) * 2.0, remainingMs * MAX_SHARE_OF_REMAINING);
        return Math.max(1, (long) (longestMs * (1 + random.nextDouble()) / 2));
    }

    /**
     * Returns the delay until the caller should retry, in milliseconds, at least 1.
     *
     * @param remainingMs time that the caller still waits, in milliseconds
     */
    public long nextMs(long remainingMs) {
        long delayMs = MIN_DELAY_MS + (long) (random.nextDouble() * JITTER_MS);
        return Math.max(1, Math.min(delayMs, (long) (remainingMs * MAX_SHARE_OF_REMAINING)));
    }
}
