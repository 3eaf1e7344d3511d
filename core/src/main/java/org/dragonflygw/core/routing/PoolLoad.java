package org.dragonflygw.core.routing;

/**
 * Load of a part of a pool.
 *
 * @param inFlight requests on its endpoints
 * @param capacity capacity of those that take work
 */
public record PoolLoad(int inFlight, int capacity) {}
