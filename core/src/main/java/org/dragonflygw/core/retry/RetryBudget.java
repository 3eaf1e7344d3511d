package org.dragonflygw.core.retry;

import java.time.Instant;
import java.time.InstantSource;
import org.dragonflygw.core.limits.TokenBucket;

/**
 * Limits the retries of one service on this daemon to a share of the service's requests. Each first attempt adds a
 * fraction of a retry to a token bucket; a low fixed rate allows retries to a service with little traffic. Thread safe;
 * the monitor is a leaf of the lock order.
 */
public final class RetryBudget {
    private static final double MAX_SAVED_RETRIES = 10;
    private static final double BASE_RETRIES_PER_SECOND = 0.01;

    private final double retriesPerRequest;
    private final InstantSource clock;
    private final TokenBucket bucket;

    /**
     * Creates a budget that holds one retry.
     *
     * @param percent retries for each 100 requests; 0 allows none
     * @param clock time
     */
    public RetryBudget(int percent, InstantSource clock) {
        this.retriesPerRequest = percent / 100.0;
        this.clock = clock;
        this.bucket = new TokenBucket(BASE_RETRIES_PER_SECOND, 1, clock.instant());
        this.bucket.configure(BASE_RETRIES_PER_SECOND, MAX_SAVED_RETRIES, clock.instant());
    }

    /** Records a first attempt. */
    public synchronized void onRequest() {
        bucket.add(retriesPerRequest);
    }

    /** Takes a retry; returns false if the budget is exhausted. */
    public synchronized boolean tryRetry() {
        if (retriesPerRequest <= 0) {
            return false;
        }
        Instant now = clock.instant();
        return bucket.take(1, now) == 1;
    }

    /** Time until a retry is available without further requests, in milliseconds. */
    public synchronized long millisToNext() {
        return bucket.millisToNext(clock.instant());
    }
}
