package org.dragonflygw.core.admission;

import java.util.HashMap;
import java.util.Map;
import org.dragonflygw.core.routing.RoutingHash;

/**
 * How the longer waits of the last seconds ended, by priority and by team. Where most of them ended with a refusal, a
 * request waits only as long as that is harmless. Not thread-safe.
 */
final class WaitSuccess {
    /** Time in which counts halve, in nanoseconds; after it, a longer wait is tried again. */
    private static final double HALF_LIFE_NANOS = 5e9;

    /** Waits that count as served and as ended before anything is known. */
    private static final double PRIOR_SERVED = 2;

    private static final double PRIOR_ENDED = 3;

    /** Share of served waits below which longer waits are not worthwhile. */
    private static final double MIN_SERVED_SHARE = 0.5;

    /** Largest number of groups; beyond it, all counts are dropped. */
    private static final int MAX_GROUPS = 256;

    private final Map<Long, Count> counts = new HashMap<>();

    /** Records the end of a wait that was longer than harmless. */
    void onEnded(WaitRequest request, boolean served, long nowNanos) {
        if (counts.size() >= MAX_GROUPS) {
            counts.clear();
        }
        for (long key : keys(request)) {
            Count c = counts.computeIfAbsent(key, k -> new Count());
            c.decay(nowNanos);
            c.ended++;
            c.served += served ? 1 : 0;
        }
    }

    /** Returns whether most requests like this one got room when they waited. */
    boolean isWorthwhile(WaitRequest request, long nowNanos) {
        for (long key : keys(request)) {
            Count c = counts.get(key);
            if (c != null && c.servedShare(nowNanos) < MIN_SERVED_SHARE) {
                return false;
            }
        }
        return true;
    }

    private static long[] keys(WaitRequest request) {
        return new long[] {RoutingHash.mix(1, request.priority()), RoutingHash.mix(2, RoutingHash.of(request.team()))};
    }

    private static final class Count {
        private double served;
        private double ended;
        private long updatedNanos;

        private void decay(long nowNanos) {
            double factor = Math.pow(0.5, (nowNanos - updatedNanos) / HALF_LIFE_NANOS);
            served *= factor;
            ended *= factor;
            updatedNanos = nowNanos;
        }

        double servedShare(long nowNanos) {
            decay(nowNanos);
            return (served + PRIOR_SERVED) / (ended + PRIOR_ENDED);
        }
    }
}
