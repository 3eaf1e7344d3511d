package org.dragonflygw.core.routing;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates what share of the requests carries each prompt prefix, in bounded memory: the space-saving algorithm
 * with counts that halve after each window of requests. Guarded by its own monitor, which is a leaf of the lock order.
 */
public final class HotPrefixTracker {
    private final int capacity;
    private final int windowRequests;
    private final Map<Long, Counter> counters = new HashMap<>();
    private double total;
    private int sinceHalving;

    /**
     * Makes an empty tracker.
     *
     * @param capacity greatest number of prefixes kept
     * @param windowRequests number of requests after which all counts halve
     */
    public HotPrefixTracker(int capacity, int windowRequests) {
        this.capacity = capacity;
        this.windowRequests = windowRequests;
    }

    /** Counts a request with the prefix and gives the prefix's share of the recent requests, from 0 to 1. */
    public synchronized double record(long prefix) {
        total++;
        if (++sinceHalving >= windowRequests) {
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

    /** Number of recent requests that the shares are taken from. */
    public synchronized double observedRequests() {
        return total;
    }

    /** Number of prefixes kept. */
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
        sinceHalving = 0;
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
