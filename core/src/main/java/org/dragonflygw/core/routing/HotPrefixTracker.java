package org.dragonflygw.core.routing;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates the share of the requests that carry each prompt prefix, in bounded memory. Uses the space-saving algorithm
 * with counts that are halved after each window of requests. Thread safe; the monitor is a leaf of the lock order.
 */
public final class HotPrefixTracker {
    private final int capacity;
    private final int windowRequests;
    private final Map<Long, Counter> counters = new HashMap<>();
    private double total;
    private int requestsSinceHalving;

    /**
     * @param capacity maximum number of tracked prefixes
     * @param windowRequests number of requests after which all counts are halved
     */
    public HotPrefixTracker(int capacity, int windowRequests) {
        this.capacity = capacity;
        this.windowRequests = windowRequests;
    }

    /** Counts a request with the prefix and returns the prefix's share of the recent requests, from 0 to 1. */
    public synchronized double record(long prefix) {
        total++;
        if (++requestsSinceHalving >= windowRequests) {
            halve();
        }
        Counter counter = counters.get(prefix);
        if (counter == null) {
            counter = counters.size() < capacity ? new Counter() : evictSmallest();
            counters.put(prefix, counter);
        }
        counter.count++;
        return Math.max(0, counter.count - counter.error) / total;
    }

    /** Decayed number of requests that the shares refer to. */
    public synchronized double observedRequests() {
        return total;
    }

    /** Number of tracked prefixes. */
    public synchronized int size() {
        return counters.size();
    }

    private Counter evictSmallest() {
        long smallest = 0;
        double least = Double.MAX_VALUE;
        for (Map.Entry<Long, Counter> entry : counters.entrySet()) {
            if (entry.getValue().count < least) {
                least = entry.getValue().count;
                smallest = entry.getKey();
            }
        }
        counters.remove(smallest);
        Counter counter = new Counter();
        counter.count = least;
        counter.error = least;
        return counter;
    }

    private void halve() {
        requestsSinceHalving = 0;
        total /= 2;
        counters.values().removeIf(counter -> {
            counter.count /= 2;
            counter.error /= 2;
            return counter.count < 0.25;
        });
    }

    private static final class Counter {
        private double count;
        private double error;
    }
}
