package org.dragonflygw.core.settings;

/**
 * Retry budget of each service, counted over all hosts: in a window, retries may number at most {@code ratio} times the
 * requests, plus {@code slack}.
 *
 * @param ratio retries allowed for each request
 * @param slack further retries allowed in a window
 * @param windowNanos length of the window in nanoseconds
 */
public record RetryBounds(double ratio, double slack, long windowNanos) {}
