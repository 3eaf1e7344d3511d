package org.dragonflygw.core.crash;

/**
 * Requests that received a complete response a short time ago, on any host. They are not the reason for the losses of
 * endpoints that ran them. Not thread-safe.
 */
final class CompletedRequests {
    /** Time for which a complete response speaks for a request, in nanoseconds. */
    private static final long RETENTION_NANOS = 60_000_000_000L;

    /** Maximum number of remembered requests; those that a busy host completes in some ten seconds. */
    private static final int CAPACITY = 2_048;

    private final LatestTimes completed = new LatestTimes(CAPACITY);

    void add(long fingerprint, long atNanos) {
        completed.add(fingerprint, atNanos);
    }

    boolean contains(long fingerprint, long nowNanos) {
        Long at = completed.get(fingerprint);
        return at != null && nowNanos - at <= RETENTION_NANOS;
    }
}
