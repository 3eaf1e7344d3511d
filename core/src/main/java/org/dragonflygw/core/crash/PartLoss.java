package org.dragonflygw.core.crash;

/**
 * The end of an endpoint while it was beginning to write an answer to a prompt with some part.
 *
 * @param sentNanos when the request was sent to the endpoint, on the monotonic clock
 * @param lostNanos when its connection was lost, on the monotonic clock
 */
record PartLoss(long sentNanos, long lostNanos) {}
