package org.dragonflygw.edge.soak;

/**
 * One request that an endpoint received, with what the endpoint said of itself in its response.
 *
 * @param id id of the caller's attempt
 * @param endpoint id of the endpoint
 * @param atNanos time when the request was read, from {@link System#nanoTime()}
 * @param quietMs time for which the endpoint asked for no more requests, in milliseconds; 0 if it did not
 * @param limit requests per second that the endpoint named for all hosts; infinity if it named none
 * @param leaving whether the endpoint said that it is leaving
 */
record Arrival(String id, String endpoint, long atNanos, long quietMs, double limit, boolean leaving) {}
