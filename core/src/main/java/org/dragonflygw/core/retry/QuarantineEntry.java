package org.dragonflygw.core.retry;

/**
 * What the daemons tell each other about a request fingerprint.
 *
 * @param fingerprint hash of the whole request
 * @param crashes number of engines that were lost while they ran it
 * @param untilMillis time until which this holds, in milliseconds since the epoch
 */
public record QuarantineEntry(long fingerprint, int crashes, long untilMillis) {}
