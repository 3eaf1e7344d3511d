package org.dragonflygw.core.crash;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Requests that received a complete response a short time ago, on any host. They are not the reason for the losses of
 * endpoints that ran them. Not thread-safe.
 */
final class CompletedRequests {
    /** Time for which a complete response speaks for a request, in nanoseconds. */
    private static final long RETENTION_NANOS = 60_000_000_000L;

    /** Maximum number of remembered requests; those that a busy host completes in some ten seconds. */
    private static final int CAPACITY = 2_048;

    private final Map<Long, Long> completedNanos = new LinkedHashMap<>();

    void add(long fingerprint, long atNanos) {
        Long known = completedNanos.remove(fingerprint);
        completedNanos.put(fingerprint, known == null ? atNanos : Math.max(known, atNanos));
        if (completedNanos.size() > CAPACITY) {
            completedNanos.remove(completedNanos.keySet().iterator().next());
        }
    }

    boolean contains(long fingerprint, long nowNanos) {
        Long at = completedNanos.get(fingerprint);
        return at != null && nowNanos - at <= RETENTION_NANOS;
    }
}
