package org.dragonflygw.core.retry;

/**
 * State of a request fingerprint that the daemons gossip.
 *
 * @param fingerprint hash of the whole request
 * @param crashes number of engines that were lost while they ran the request
 * @param untilMillis time until which the entry is valid, in milliseconds since the epoch
 */
public record QuarantineEntry(long fingerprint, int crashes, long untilMillis) {}
