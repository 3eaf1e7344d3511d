package org.dragonflygw.core.retry;

/**
 * Retries that the latest requests of a host allow. Each request adds to the credit, and what is not used soon expires, so
 * that requests which move to another host do not count at both. Not thread-safe.
 */
final class RetryCredit {
    /** Time in which the credit beyond {@link #KEPT} falls to about a third, in nanoseconds. */
    private static final double EXPIRY_NANOS = 2e9;

    /** Credit that does not expire while there are requests; a host with few of them would never have one retry else. */
    private static final double KEPT = 1;

    private double credit;
    private long updatedNanos;
    private long lastRequestNanos;

    /**
     * Adds to the credit.
     *
     * @param share retries per request
     */
    void onRequest(double share, long nowNanos, long windowNanos) {
        expire(nowNanos, windowNanos);
        credit += share;
        lastRequestNanos = nowNanos;
    }

    /** Returns the number of retries allowed now. */
    double available(long nowNanos, long windowNanos) {
        expire(nowNanos, windowNanos);
        return credit;
    }

    /** Takes one retry. */
    void take() {
        credit -= 1;
    }

    private void expire(long nowNanos, long windowNanos) {
        if (nowNanos - lastRequestNanos > windowNanos) {
            credit = 0;
        } else if (credit > KEPT) {
            credit = KEPT + (credit - KEPT) * Math.exp((updatedNanos - nowNanos) / EXPIRY_NANOS);
        }
        updatedNanos = nowNanos;
    }
}
