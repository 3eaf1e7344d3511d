package org.dragonflygw.core.storage;

/**
 * Reply of the weight store to a request to read weights.
 *
 * @param granted whether the read may start now
 * @param sizeBytes size of the weights in bytes
 * @param retryAfterMillis if the read is not granted: time after which to ask again, in milliseconds
 */
public record WeightPermit(boolean granted, long sizeBytes, long retryAfterMillis) {}
