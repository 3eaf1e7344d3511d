package org.dragonflygw.edge.upstream;

import java.util.HashMap;
import java.util.Map;

/**
 * Limits per endpoint for the idle time after which a connection may be reused. An endpoint may drop idle connections
 * without notice; when a request is lost on a connection that was idle, the limit of that endpoint is reduced for a
 * while. Not safe for use by several threads.
 */
final class IdleLimits {
    /** Fraction of the idle time after which a connection was lost that is still considered safe. */
    private static final double SAFE_FRACTION = 0.5;

    /**
     * Smallest limit, in nanoseconds. A connection lost after a shorter idle time means that the endpoint itself ended.
     */
    private static final long MIN_LIMIT_NANOS = 50_000_000L;

    /** How long a reduced limit applies, in nanoseconds. */
    private static final long HOLD_NANOS = 30_000_000_000L;

    private final Map<String, ReducedLimit> byEndpoint = new HashMap<>();

    /** Returns the limit for an endpoint, at most the given default, in nanoseconds. */
    long limitNanos(String endpoint, long defaultNanos, long nowNanos) {
        ReducedLimit s = byEndpoint.get(endpoint);
        if (s == null) {
            return defaultNanos;
        }
        if (nowNanos - s.sinceNanos > HOLD_NANOS) {
            byEndpoint.remove(endpoint);
            return defaultNanos;
        }
        return Math.min(defaultNanos, s.limitNanos);
    }

    /** Reduces the limit of an endpoint after a request was lost on a reused connection before the response began. */
    void onConnectionLost(String endpoint, long idleNanos, long nowNanos) {
        if (idleNanos < MIN_LIMIT_NANOS) {
            return;
        }
        long limit = Math.max(MIN_LIMIT_NANOS, (long) (idleNanos * SAFE_FRACTION));
        byEndpoint.put(endpoint, new ReducedLimit(limitNanos(endpoint, limit, nowNanos), nowNanos));
    }

    /** Removes the limit of an endpoint that was removed. */
    void removeEndpoint(String endpoint) {
        byEndpoint.remove(endpoint);
    }

    private record ReducedLimit(long limitNanos, long sinceNanos) {}
}
