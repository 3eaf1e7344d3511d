package org.dragonflygw.core.catalog;

/**
 * A service that receives a share of a route's requests.
 *
 * @param service name of the service
 * @param weight weight relative to the other services of the route; not negative
 */
public record WeightedService(String service, int weight) {}
