package org.dragonflygw.core.storage;

/**
 * Answer of the weight store to a read request.
 *
 * @param granted whether the read may start now
 * @param sizeBytes size of the weights
 * @param retryAfterMillis when not granted: time to wait before asking again, in milliseconds
 */
public record WeightPermit(boolean granted, long sizeBytes, long retryAfterMillis) {}
