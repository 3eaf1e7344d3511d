package org.dragonflygw.core.retry;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;
import org.dragonflygw.core.settings.RetryBounds;

/**
 * This host's share of a retry budget that holds for the whole fleet: in any window, repeats to a service may be at
 * most a ratio of its requests plus a fixed slack. Each host spends the ratio of its own requests and an equal part of
 * the slack, so no messages are needed. Used by one thread.
 */
public final class FleetRetryShare {
    /** Share of the budget that is used, since hosts count the others late. */
    private static final double SAFETY = 0.8;

    private final Supplier<RetryBounds> bounds;
    private final Map<String, Window> byService = new HashMap<>();
    private int setHostCount;

    /**
     * Makes a share.
     *
     * @param bounds the budget in force, of all hosts together
     * @param hosts hosts that share the budget, at least 1
     */
    public FleetRetryShare(Supplier<RetryBounds> bounds, int hosts) {
        this.bounds = bounds;
        this.setHostCount = hosts;
    }

    /** Sets how many hosts share the budget. */
    public void setHostCount(int count) {
        setHostCount = Math.max(1, count);
    }

    /** Notes a request of a caller. */
    public void onRequest(String service, long nowNanos) {
        window(service, nowNanos).requests.addLast(nowNanos);
    }

    /** Takes a repeat if the share allows it. */
    public boolean tryRetry(String service, long nowNanos) {
        Window w = window(service, nowNanos);
        RetryBounds b = bounds.get();
        double allowed = SAFETY * (b.ratio() * w.requests.size() + b.slack() / setHostCount);
        if (w.repeats.size() + 1 > allowed) {
            return false;
        }
        w.repeats.addLast(nowNanos);
        return true;
    }

    private Window window(String service, long nowNanos) {
        Window w = byService.computeIfAbsent(service, s -> new Window());
        long oldest = nowNanos - bounds.get().windowNanos();
        expire(w.requests, oldest);
        expire(w.repeats, oldest);
        return w;
    }

    private static void expire(Deque<Long> times, long oldestNanos) {
        while (!times.isEmpty() && times.peekFirst() - oldestNanos < 0) {
            times.removeFirst();
        }
    }

    private static final class Window {
        private final Deque<Long> requests = new ArrayDeque<>();
        private final Deque<Long> repeats = new ArrayDeque<>();
    }
}
