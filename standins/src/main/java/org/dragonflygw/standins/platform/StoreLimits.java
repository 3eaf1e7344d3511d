package org.dragonflygw.standins.platform;

import org.dragonflygw.standins.time.RateLimit;

/**
 * Rate limits of the stores.
 *
 * @param reads reads a second
 * @param writes writes a second; a transaction counts as one
 * @param weightBytes bytes of weights a second
 * @param weightSizeBytes size of the weights of one model version
 */
record StoreLimits(RateLimit reads, RateLimit writes, RateLimit weightBytes, long weightSizeBytes) {}
