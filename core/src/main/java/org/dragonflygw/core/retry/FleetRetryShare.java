package org.dragonflygw.core.retry;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalInt;
import java.util.function.Supplier;
import org.dragonflygw.core.lease.SuspensionDetector;
import org.dragonflygw.core.settings.RetryBounds;

/**
 * This host's share of a retry budget for the whole fleet. In any window, the retries of a service are limited to a
 * ratio of its requests plus a fixed slack. Each host may use the ratio of its own requests and an equal part of the
 * slack, so hosts need not coordinate. A host that does not know how many others there are uses no slack. A process that
 * has just started uses little, because it does not know what the process before it used, and so does a host that was
 * suspended, because its clock stood still. Not thread safe; confined to one thread.
 */
public final class FleetRetryShare {
    /** Share of the budget that is used; leaves a margin because hosts learn late of changes in the number of hosts. */
    private static final double USED_BUDGET_SHARE = 0.8;

    /**
     * Share of the ratio that a process uses during its first window, and during the one after a suspension. The host may
     * have used {@link #USED_BUDGET_SHARE} of the budget just before; both together stay within it.
     */
    private static final double FIRST_WINDOW_RATIO_SHARE = 0.1;

    private final Supplier<RetryBounds> bounds;
    private final Supplier<OptionalInt> fleetSize;
    private final SuspensionDetector suspensions;
    private final Map<String, Window> byService = new HashMap<>();

    /** Monotonic time since which this process knows what its host sent. */
    private long knownSinceNanos;

    private long grantedCount;
    private long deniedCount;

    /**
     * Creates a share without requests or retries.
     *
     * @param bounds the current budget of all hosts together
     * @param fleetSize the current number of hosts that share the budget, empty while it is unknown
     * @param suspensions detects suspensions of this host
     * @param startNanos when this process started, on the monotonic clock
     */
    public FleetRetryShare(
            Supplier<RetryBounds> bounds,
            Supplier<OptionalInt> fleetSize,
            SuspensionDetector suspensions,
            long startNanos) {
        this.bounds = bounds;
        this.fleetSize = fleetSize;
        this.suspensions = suspensions;
        this.knownSinceNanos = startNanos;
    }

    /** Records a request of a caller. */
    public void onRequest(String service, long nowNanos) {
        forgetAfterSuspension(nowNanos);
        RetryBounds budget = bounds.get();
        Window window = window(service);
        window.requests.add(nowNanos, budget.windowNanos());
        window.credit.onRequest(USED_BUDGET_SHARE * budget.ratio(), nowNanos, budget.windowNanos());
    }

    /** Takes a retry from the share, unless the share is exhausted. */
    public RetryDecision tryRetry(String service, long nowNanos) {
        forgetAfterSuspension(nowNanos);
        Window window = window(service);
        long windowNanos = bounds.get().windowNanos();
        expire(window.retries, nowNanos - windowNanos);
        expire(window.fixedPart, nowNanos - windowNanos);
        int requests = window.requests.leastCounted(nowNanos, windowNanos);
        OptionalInt hosts = fleetSize.get();
        double allowed = allowed(requests, hosts, nowNanos);
        double credit = window.credit.available(nowNanos, windowNanos);
        int used = window.retries.size();
        boolean byRequests = credit >= 1;
        boolean byFixedPart = window.fixedPart.size() + 1 <= USED_BUDGET_SHARE * slackShare(hosts);
        boolean granted = used + 1 <= allowed && (byRequests || byFixedPart);
        if (granted) {
            window.take(byRequests, nowNanos);
            grantedCount++;
        } else {
            deniedCount++;
        }
        return new RetryDecision(granted, requests, used, allowed, credit, hosts);
    }

    /** The times that a suspended host has recorded are older than they seem, so it begins like a new process. */
    private void forgetAfterSuspension(long nowNanos) {
        if (suspensions.wasSuspended()) {
            byService.clear();
            knownSinceNanos = nowNanos;
        }
    }

    private double allowed(int requests, OptionalInt hosts, long nowNanos) {
        RetryBounds budget = bounds.get();
        if (nowNanos - knownSinceNanos < budget.windowNanos()) {
            return FIRST_WINDOW_RATIO_SHARE * budget.ratio() * requests;
        }
        return USED_BUDGET_SHARE * (budget.ratio() * requests + slackShare(hosts));
    }

    /** Returns this host's share of the fixed part of the budget; nothing while the number of hosts is unknown. */
    private double slackShare(OptionalInt hosts) {
        return hosts.isPresent() ? bounds.get().slack() / hosts.getAsInt() : 0;
    }

    /** Returns the number of retries granted since the start. */
    public long grantedCount() {
        return grantedCount;
    }

    /** Returns the number of retries denied since the start. */
    public long deniedCount() {
        return deniedCount;
    }

    private Window window(String service) {
        return byService.computeIfAbsent(service, s -> new Window());
    }

    private static void expire(Deque<Long> times, long oldestNanos) {
        while (!times.isEmpty() && times.peekFirst() - oldestNanos < 0) {
            times.removeFirst();
        }
    }

    private static final class Window {
        private final RequestTimes requests = new RequestTimes();
        private final RetryCredit credit = new RetryCredit();
        private final Deque<Long> retries = new ArrayDeque<>();

        /** The retries that were taken from the fixed part of the budget. */
        private final Deque<Long> fixedPart = new ArrayDeque<>();

        void take(boolean byRequests, long nowNanos) {
            retries.addLast(nowNanos);
            if (byRequests) {
                credit.take();
            } else {
                fixedPart.addLast(nowNanos);
            }
        }
    }
}
