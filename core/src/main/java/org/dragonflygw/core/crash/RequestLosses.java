package org.dragonflygw.core.crash;

import java.util.HashSet;
import java.util.Set;

/**
 * The endpoints that were lost while they ran one request.
 *
 * @param endpoints instances of the lost endpoints
 * @param lastNanos when the last one was lost, on the monotonic clock
 */
record RequestLosses(Set<String> endpoints, long lastNanos) {
    /** Number of lost endpoints after which further ones are no longer named, which bounds the reports. */
    private static final int MAX_ENDPOINTS = 8;

    private static final long NANOS_PER_MS = 1_000_000;

    RequestLosses {
        endpoints = Set.copyOf(endpoints);
    }

    RequestLosses with(Set<String> more, long atNanos) {
        Set<String> all = new HashSet<>(endpoints);
        if (all.size() < MAX_ENDPOINTS) {
            all.addAll(more);
        }
        return new RequestLosses(all, Math.max(lastNanos, atNanos));
    }

    /** Returns whether the losses name all of these endpoints, or as many as they ever do. */
    boolean covers(Set<String> others) {
        return endpoints.size() >= MAX_ENDPOINTS || endpoints.containsAll(others);
    }

    /** Returns the time since the last loss, in milliseconds. */
    long ageMs(long nowNanos) {
        return Math.max(0, (nowNanos - lastNanos) / NANOS_PER_MS);
    }
}
