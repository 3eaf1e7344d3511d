package org.dragonflygw.standins.time;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;

/** A token bucket that holds at most the units of one second. Thread-safe. */
public final class RateLimit {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final long MILLIS_PER_SECOND = 1000;

    private final InstantSource clock;
    private final long perSecond;
    private double available;
    private Instant filledAt;

    /**
     * Creates a full bucket.
     *
     * @param clock time source
     * @param perSecond units added per second, also the capacity; 0 for no limit
     */
    public RateLimit(InstantSource clock, long perSecond) {
        this.clock = clock;
        this.perSecond = perSecond;
        this.available = perSecond;
        this.filledAt = clock.instant();
    }

    /** Takes units if available. An amount above the capacity needs a full bucket and leaves a negative balance. */
    public synchronized boolean tryTake(long units) {
        if (perSecond == 0) {
            return true;
        }
        fill();
        if (available < Math.min(units, perSecond)) {
            return false;
        }
        available -= units;
        return true;
    }

    /** Returns the time until {@link #tryTake} can take the units, in milliseconds. */
    public synchronized long waitMillis(long units) {
        if (perSecond == 0) {
            return 0;
        }
        fill();
        double missing = Math.min(units, perSecond) - available;
        return missing <= 0 ? 0 : (long) Math.ceil(missing * MILLIS_PER_SECOND / perSecond);
    }

    private void fill() {
        Instant now = clock.instant();
        double seconds = Duration.between(filledAt, now).toNanos() / NANOS_PER_SECOND;
        available = Math.min((double) perSecond, available + seconds * perSecond);
        filledAt = now;
    }
}
