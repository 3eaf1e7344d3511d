package org.dragonflygw.core.limits;

import java.util.random.RandomGenerator;

/**
 * Says when a refused caller may come again. Returns are spread evenly over the time in which places come free, so that
 * refused callers do not come back together.
 */
public final class RetryAfterDelays {
    /** Shortest advice in milliseconds; less would bring the caller back into the same moment. */
    private static final long MIN_MS = 100;

    /** Time over which returns are spread when places are taken, in milliseconds. */
    private static final long SPREAD_MS = 900;

    /** Share of the time left that is never exceeded, so that the second attempt still has time to be served. */
    private static final double MAX_SHARE_OF_LEFT = 0.3;

    private final RandomGenerator random;

    /** Makes a source of return times. */
    public RetryAfterDelays(RandomGenerator random) {
        this.random = random;
    }

    /** Time until the caller may come again, in milliseconds, given how long it still waits. */
    public long nextMs(long remainingMs) {
        long spread = MIN_MS + (long) (random.nextDouble() * SPREAD_MS);
        return Math.max(1, Math.min(spread, (long) (remainingMs * MAX_SHARE_OF_LEFT)));
    }
}
