package org.dragonflygw.standins.platform;

import org.dragonflygw.standins.time.RateLimit;

/**
 * Rate limits of the stores.
 *
 * @param reads limit of reads per second
 * @param writes limit of writes per second; a transaction counts as one write
 * @param weightBytes limit of weight bytes per second
 * @param weightSizeBytes size of the weights of one model version, in bytes
 */
record StoreLimits(RateLimit reads, RateLimit writes, RateLimit weightBytes, long weightSizeBytes) {}
