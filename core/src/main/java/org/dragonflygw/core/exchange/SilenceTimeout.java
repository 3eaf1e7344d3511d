package org.dragonflygw.core.exchange;

import org.dragonflygw.core.catalog.CatalogRoute;

/** Time after which an attempt that delivers no data counts as silent. Not thread-safe. */
final class SilenceTimeout {
    /** Multiple of the route's objective until the first part of a response, and in a response that is not a stream. */
    private static final double RESPONSE_FACTOR = 2.0;

    /** Multiple of the maximum gap between two events of a stream. */
    private static final double EVENT_GAP_FACTOR = 2.5;

    /** Time until a silent attempt is looked at again if it cannot be replaced now, in nanoseconds. */
    private static final long RECHECK_NANOS = 500_000_000L;

    private static final long NANOS_PER_MS = 1_000_000;

    private final CatalogRoute route;
    private long lastReadNanos;
    private long recheckNanos;

    /** Creates the timeout of an attempt that is sent now. */
    SilenceTimeout(CatalogRoute route, long nowNanos) {
        this.route = route;
        restart(nowNanos);
    }

    /** Records that data arrived. */
    void restart(long nowNanos) {
        lastReadNanos = nowNanos;
        recheckNanos = nowNanos;
    }

    /** Records that the attempt is silent but cannot be replaced now. */
    void postpone(long nowNanos) {
        recheckNanos = nowNanos + RECHECK_NANOS;
    }

    long lastReadNanos() {
        return lastReadNanos;
    }

    /** Returns the monotonic time from which the attempt counts as silent. */
    long expiryNanos(boolean firstPartSeen) {
        double timeoutMs = firstPartSeen && route.streaming()
                ? EVENT_GAP_FACTOR * route.maxEventGapMs()
                : RESPONSE_FACTOR * route.objectiveMs();
        return Math.max(recheckNanos, lastReadNanos + (long) (timeoutMs * NANOS_PER_MS));
    }
}
