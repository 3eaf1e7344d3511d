package org.dragonflygw.core.crash;

/**
 * The end of an endpoint while a request with some part of a prompt was there.
 *
 * @param sentNanos when the request was sent to the endpoint, on the monotonic clock
 * @param lostNanos when its connection was lost, or the endpoint fell silent, on the monotonic clock
 * @param begun whether the endpoint was beginning to write the response; if not, nothing was read of it, and the request
 *     may have been waiting
 * @param chance estimated share of such requests that were lost in this way around that time, between 0 and 1
 */
record PartLoss(long sentNanos, long lostNanos, boolean begun, double chance) {
    /** Returns the better evidence of two losses at one endpoint: the response that had begun, or what was sent first. */
    static PartLoss stronger(PartLoss a, PartLoss b) {
        if (a.begun != b.begun) {
            return a.begun ? a : b;
        }
        PartLoss first = a.sentNanos <= b.sentNanos ? a : b;
        return new PartLoss(first.sentNanos, first.lostNanos, first.begun, Math.min(a.chance, b.chance));
    }
}
