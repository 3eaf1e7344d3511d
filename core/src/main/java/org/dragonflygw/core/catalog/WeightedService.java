package org.dragonflygw.core.catalog;

/**
 * A service that takes a share of a route's requests.
 *
 * @param service name of the service
 * @param weight share relative to the route's other services; not negative
 */
public record WeightedService(String service, int weight) {}
