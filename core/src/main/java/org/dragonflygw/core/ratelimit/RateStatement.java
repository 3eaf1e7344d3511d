package org.dragonflygw.core.ratelimit;

/**
 * A readable notice with the time in which the endpoint wrote it: after the request was sent, and before its response
 * was heard. Responses overtake each other, so of two statements whose times overlap the later one is unknown.
 *
 * @param notice what the response says
 * @param sentNanos when the request was sent, on this host's monotonic clock; {@link #UNKNOWN_SENT} if unknown
 * @param heardNanos when the response was heard, on the same clock
 */
public record RateStatement(RateNotice notice, long sentNanos, long heardNanos) {
    /** Time of sending of a response to an unknown request; such a statement never counts as the later one. */
    public static final long UNKNOWN_SENT = Long.MIN_VALUE / 2;

    /**
     * Returns which of two statements holds: the later one, or the one with the lower limit if their order is unknown.
     * Of two such statements with the same limit, the one that was sent later.
     */
    public RateStatement merge(RateStatement other) {
        if (other.sentNanos >= heardNanos) {
            return other;
        }
        if (sentNanos >= other.heardNanos) {
            return this;
        }
        int order = Double.compare(other.notice.requestsPerSecond(), notice.requestsPerSecond());
        boolean otherHolds = order == 0 ? other.sentNanos > sentNanos : order < 0;
        return otherHolds ? other : this;
    }
}
