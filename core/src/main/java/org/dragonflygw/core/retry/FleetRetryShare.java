package org.dragonflygw.core.retry;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * This host's share of a retry budget that holds for the whole fleet: in any window, repeats to a service may be at
 * most a ratio of its requests plus a fixed slack. Each host spends the ratio of its own requests and an equal part of
 * the slack, so no messages are needed. Used by one thread.
 */
public final class FleetRetryShare {
    /** Share of the budget that is used, since hosts count the others late. */
    private static final double SAFETY = 0.8;

    private final double ratio;
    private final double slack;
    private final long windowNanos;
    private final Map<String, Window> byService = new HashMap<>();
    private int hosts;

    /**
     * Makes a share.
     *
     * @param ratio repeats for each request
     * @param slack further repeats in a window, over all hosts
     * @param windowNanos length of the window
     * @param hosts hosts that share the budget, at least 1
     */
    public FleetRetryShare(double ratio, double slack, long windowNanos, int hosts) {
        this.ratio = ratio;
        this.slack = slack;
        this.windowNanos = windowNanos;
        this.hosts = hosts;
    }

    /** Sets how many hosts share the budget. */
    public void hosts(int count) {
        hosts = Math.max(1, count);
    }

    /** Notes a request of a caller. */
    public void onRequest(String service, long nowNanos) {
        window(service, nowNanos).requests.addLast(nowNanos);
    }

    /** Takes a repeat if the share allows it. */
    public boolean tryRepeat(String service, long nowNanos) {
        Window w = window(service, nowNanos);
        double allowed = SAFETY * (ratio * w.requests.size() + slack / hosts);
        if (w.repeats.size() + 1 > allowed) {
            return false;
        }
        w.repeats.addLast(nowNanos);
        return true;
    }

    private Window window(String service, long nowNanos) {
        Window w = byService.computeIfAbsent(service, s -> new Window());
        expire(w.requests, nowNanos);
        expire(w.repeats, nowNanos);
        return w;
    }

    private void expire(Deque<Long> times, long nowNanos) {
        while (!times.isEmpty() && nowNanos - times.peekFirst() > windowNanos) {
            times.removeFirst();
        }
    }

    private static final class Window {
        private final Deque<Long> requests = new ArrayDeque<>();
        private final Deque<Long> repeats = new ArrayDeque<>();
    }
}
