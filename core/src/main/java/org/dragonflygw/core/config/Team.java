package org.dragonflygw.core.config;

/**
 * A team of callers.
 *
 * @param name unique name
 * @param keySha256 SHA-256 of the team's key, 64 hexadecimal digits in lower case
 * @param weight share against the other teams under contention, from 1
 * @param requestsPerSecond fleet-wide rate limit; 0 for none
 * @param burst requests that may come at once above the rate
 */
public record Team(String name, String keySha256, int weight, int requestsPerSecond, int burst) {}
