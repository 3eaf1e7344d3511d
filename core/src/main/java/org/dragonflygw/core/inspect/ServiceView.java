package org.dragonflygw.core.inspect;

/**
 * Load of one service.
 *
 * @param name service
 * @param liveEndpoints endpoints that take new work
 * @param endpoints all endpoints
 * @param meanInFlight mean number of requests on one endpoint
 * @param maxInFlight maximum number of requests on one endpoint
 * @param skew ratio of the maximum to the mean load; 0 without load
 * @param loadBound maximum skew that the sheet allows
 */
public record ServiceView(
        String name,
        int liveEndpoints,
        int endpoints,
        double meanInFlight,
        int maxInFlight,
        double skew,
        double loadBound) {}
