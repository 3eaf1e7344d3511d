package org.dragonflygw.core.config;

/**
 * Team row of a sheet: a team of callers with its key and limits.
 *
 * @param name unique name
 * @param keySha256 SHA-256 of the team's key, 64 hexadecimal digits in lower case
 * @param weight weight of the team's share when teams compete for capacity, at least 1
 * @param requestsPerSecond fleet-wide rate limit, in requests per second; 0 for no limit
 * @param burst maximum number of requests that may arrive at once above the rate
 */
public record Team(String name, String keySha256, int weight, int requestsPerSecond, int burst) {}
