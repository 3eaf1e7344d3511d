package org.dragonflygw.core.retry;

import java.time.Instant;
import java.time.InstantSource;
import org.dragonflygw.core.limits.TokenBucket;

/**
 * Bounds the retries of one service on this daemon to a share of its requests. Each first attempt adds a part of a
 * retry; a slow trickle lets a service with little traffic retry as well. Guarded by its own monitor, which is a leaf
 * of the lock order.
 */
public final class RetryBudget {
    private static final double MAX_SAVED_RETRIES = 10;
    private static final double TRICKLE_PER_SECOND = 0.01;

    private final double retriesPerRequest;
    private final InstantSource clock;
    private final TokenBucket bucket;

    /**
     * Makes a budget with one retry saved.
     *
     * @param percent retries for each hundred requests
     * @param clock time
     */
    public RetryBudget(int percent, InstantSource clock) {
        this.retriesPerRequest = percent / 100.0;
        this.clock = clock;
        this.bucket = new TokenBucket(TRICKLE_PER_SECOND, 1, clock.instant());
        this.bucket.configure(TRICKLE_PER_SECOND, MAX_SAVED_RETRIES, clock.instant());
    }

    /** Notes a first attempt. */
    public synchronized void onRequest() {
        bucket.add(retriesPerRequest);
    }

    /** Takes a retry; returns false when the budget is used up. */
    public synchronized boolean tryRetry() {
        if (retriesPerRequest <= 0) {
            return false;
        }
        Instant now = clock.instant();
        return bucket.take(1, now) == 1;
    }

    /** Time until a retry is there without further requests, in milliseconds. */
    public synchronized long millisToNext() {
        return bucket.millisToNext(clock.instant());
    }
}
