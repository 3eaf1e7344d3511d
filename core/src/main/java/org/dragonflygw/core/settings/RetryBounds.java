package org.dragonflygw.core.settings;

/**
 * How often requests may be sent again, summed over all hosts.
 *
 * @param ratio repeats that a service may get for each of its requests
 * @param slack further repeats in a window
 * @param windowNanos length of that window in nanoseconds
 */
public record RetryBounds(double ratio, double slack, long windowNanos) {}
