package org.dragonflygw.edge.upstream;

import java.util.HashMap;
import java.util.Map;

/**
 * How long an idle connection to each endpoint may be used again. An endpoint may drop idle connections without notice;
 * the loss of a request on a connection that had rested shortens the limit for that endpoint for a while. Used by one
 * thread.
 */
final class IdleLimits {
    /** Share of the rest after which a connection was lost that is still taken as safe. */
    private static final double SAFE_FRACTION = 0.5;

    /** Shortest limit, in nanoseconds: shorter rests are ends of the endpoint itself. */
    private static final long MIN_LIMIT_NANOS = 50_000_000L;

    /** How long a shortened limit holds, in nanoseconds. */
    private static final long HOLD_NANOS = 30_000_000_000L;

    private final Map<String, ReducedLimit> byEndpoint = new HashMap<>();

    /** The limit for an endpoint, in nanoseconds. */
    long limitNanos(String endpoint, long usualNanos, long nowNanos) {
        ReducedLimit s = byEndpoint.get(endpoint);
        if (s == null) {
            return usualNanos;
        }
        if (nowNanos - s.sinceNanos > HOLD_NANOS) {
            byEndpoint.remove(endpoint);
            return usualNanos;
        }
        return Math.min(usualNanos, s.limitNanos);
    }

    /** Notes that a request was lost on a connection that had rested, before any answer. */
    void onConnectionLost(String endpoint, long restedNanos, long nowNanos) {
        if (restedNanos < MIN_LIMIT_NANOS) {
            return;
        }
        long limit = Math.max(MIN_LIMIT_NANOS, (long) (restedNanos * SAFE_FRACTION));
        byEndpoint.put(endpoint, new ReducedLimit(limitNanos(endpoint, limit, nowNanos), nowNanos));
    }

    /** Forgets an endpoint that is gone. */
    void removeEndpoint(String endpoint) {
        byEndpoint.remove(endpoint);
    }

    private record ReducedLimit(long limitNanos, long sinceNanos) {}
}
