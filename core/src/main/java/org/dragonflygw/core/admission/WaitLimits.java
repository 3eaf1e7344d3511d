package org.dragonflygw.core.admission;

/** How long a request may wait so that its response is still useful. */
final class WaitLimits {
    /** Share of the objective within which a wait harms no caller, also if the request is refused in the end. */
    private static final double HARMLESS_SHARE = 0.125;

    /** Share of the objective after which a request that can still be served on time stops to wait. */
    private static final double ON_TIME_SHARE = 0.5;

    /** Longest wait of any request, in nanoseconds. */
    private static final long MAX_WAIT_NANOS = 5_000_000_000L;

    /** Time added to the usual duration of a request, in milliseconds, for the way to the endpoint and back. */
    private static final double MARGIN_MS = 20;

    private static final double NANOS_PER_MS = 1e6;

    private WaitLimits() {}

    /**
     * Returns when a request stops to wait, on the monotonic clock.
     *
     * @param firstPartMs usual time until the response begins, in milliseconds
     * @param totalMs usual time until the response ends, in milliseconds
     */
    static long limitNanos(WaitRequest r, double firstPartMs, double totalMs) {
        double harmlessMs = HARMLESS_SHARE * r.objectiveMs();
        double onTimeMs = r.objectiveMs() - firstPartMs - MARGIN_MS;
        double waitMs = onTimeMs > harmlessMs
                ? Math.max(harmlessMs, Math.min(ON_TIME_SHARE * r.objectiveMs(), onTimeMs))
                : r.objectiveMs();
        long byObjective = r.arrivedNanos() + Math.min(MAX_WAIT_NANOS, (long) (waitMs * NANOS_PER_MS));
        long byDeadline = r.expiryNanos() - (long) ((totalMs + MARGIN_MS) * NANOS_PER_MS);
        return Math.min(byObjective, byDeadline);
    }

    /** Returns until when a wait harms nobody, on the monotonic clock. */
    static long harmlessUntilNanos(WaitRequest r) {
        return r.arrivedNanos() + (long) (HARMLESS_SHARE * r.objectiveMs() * NANOS_PER_MS);
    }
}
