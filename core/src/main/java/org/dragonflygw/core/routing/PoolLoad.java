package org.dragonflygw.core.routing;

/**
 * Load and capacity of some of the endpoints of a pool.
 *
 * @param inFlight requests on these endpoints
 * @param capacity capacity of those endpoints that take new work
 */
public record PoolLoad(int inFlight, int capacity) {}
