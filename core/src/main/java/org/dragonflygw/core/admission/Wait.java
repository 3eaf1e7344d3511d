package org.dragonflygw.core.admission;

/** The wait of one request for room. */
public final class Wait {
    private static final long NANOS_PER_MS = 1_000_000;

    private final WaitRequest request;
    private final Waiter waiter;
    private final ServiceQueue queue;
    private final boolean repeat;
    private final long sinceNanos;
    private final long sinceWallMs;
    private long limitNanos;
    private boolean decided;
    private boolean ended;

    Wait(
            WaitRequest request,
            Waiter waiter,
            ServiceQueue queue,
            boolean repeat,
            long sinceNanos,
            long sinceWallMs,
            long limitNanos) {
        this.request = request;
        this.waiter = waiter;
        this.queue = queue;
        this.repeat = repeat;
        this.sinceNanos = sinceNanos;
        this.sinceWallMs = sinceWallMs;
        this.limitNanos = limitNanos;
    }

    WaitRequest request() {
        return request;
    }

    Waiter waiter() {
        return waiter;
    }

    ServiceQueue queue() {
        return queue;
    }

    /** Whether the caller was refused before, as far as this host can know. */
    boolean isRepeat() {
        return repeat;
    }

    long limitNanos() {
        return limitNanos;
    }

    /** Returns when it must be decided next whether the request goes on waiting. */
    long decisionNanos() {
        return decided ? limitNanos : Math.min(limitNanos, WaitLimits.harmlessUntilNanos(request));
    }

    /** Returns whether it must be decided now whether the request goes on waiting. */
    boolean isDecisionDue(long nowNanos) {
        boolean due = nowNanos >= decisionNanos();
        decided |= due;
        return due;
    }

    void endBy(long nanos) {
        limitNanos = Math.min(limitNanos, nanos);
    }

    /** Returns how long the request waits, by the clock that ran longer; the monotonic one stops in a suspension. */
    long waitedNanos(long nowNanos, long nowWallMs) {
        return Math.max(nowNanos - sinceNanos, (nowWallMs - sinceWallMs) * NANOS_PER_MS);
    }

    /** Returns the time until the request may no longer wait, in nanoseconds; not positive if the time is over. */
    long remainingNanos(long nowNanos, long nowWallMs) {
        return limitNanos - sinceNanos - waitedNanos(nowNanos, nowWallMs);
    }

    void end() {
        ended = true;
    }

    boolean hasEnded() {
        return ended;
    }
}
