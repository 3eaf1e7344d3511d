package org.dragonflygw.core.crash;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * When endpoints ended, whatever the reason. Immutable as long as its map is not changed.
 *
 * @param endedNanos when endpoints ended, by instance, on the monotonic clock
 * @param alive number of other endpoints that prompts were sent to
 */
record EndpointEnds(Map<String, Long> endedNanos, int alive) {
    /** Time within which ends count as one event, in nanoseconds. */
    private static final long TOGETHER_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    /** Number of endpoints that end together from which parts of prompts are hardly the reason. */
    private static final int MANY_TOGETHER = 4;

    /** Returns how many endpoints ended from one moment to another, except those that parts explain. */
    long between(long firstNanos, long lastNanos, Set<String> own, Set<String> explained) {
        return endedNanos.entrySet().stream()
                .filter(e -> e.getValue() >= firstNanos && e.getValue() <= lastNanos)
                .filter(e -> !own.contains(e.getKey()) && !explained.contains(e.getKey()))
                .count();
    }

    /** Returns the share of all endpoints that ended together around a moment; 0 if they were few. */
    double shareTogether(long atNanos) {
        long together = endedNanos.values().stream()
                .filter(t -> Math.abs(t - atNanos) <= TOGETHER_NANOS)
                .count();
        return together < MANY_TOGETHER ? 0 : (double) together / (together + alive);
    }
}
