package org.dragonflygw.core.admission;

/** Times of the requests of one route: how long endpoints take for them and how long their callers wait. Not thread-safe. */
final class RouteTimes {
    private static final double SMOOTHING = 0.1;

    /** Decay per request of the usual deadline, so that a shorter one is learned within some hundred requests. */
    private static final double DEADLINE_DECAY = 0.998;

    /** Share of the usual deadline up to which a request counts as the repeat of an earlier one. */
    private static final double REPEAT_DEADLINE_SHARE = 0.95;

    private double totalMs;
    private double firstPartMs;
    private double usualDeadlineMs;

    /** Records how long an endpoint took for a request until the first part and the end of its response. */
    void onServed(double msToFirstPart, double msToEnd) {
        firstPartMs = firstPartMs == 0 ? msToFirstPart : firstPartMs + SMOOTHING * (msToFirstPart - firstPartMs);
        totalMs = totalMs == 0 ? msToEnd : totalMs + SMOOTHING * (msToEnd - totalMs);
    }

    /**
     * Records the deadline of a request and returns whether it is shorter than usual on this route: a caller that was
     * refused before has spent a part of its time.
     */
    boolean isShortDeadline(long deadlineMs) {
        boolean isShort = (double) deadlineMs < usualDeadlineMs * REPEAT_DEADLINE_SHARE;
        usualDeadlineMs = Math.max((double) deadlineMs, usualDeadlineMs * DEADLINE_DECAY);
        return isShort;
    }

    /** Returns the mean time until the response begins, in milliseconds; 0 if unknown. */
    double firstPartMs() {
        return firstPartMs;
    }

    /** Returns the mean time until the response ends, in milliseconds; 0 if unknown. */
    double totalMs() {
        return totalMs;
    }
}
