package org.dragonflygw.core.config;

/**
 * Desired state of the engines of a pool.
 *
 * @param pool pool of engines
 * @param model model to hold
 * @param version version of the model
 * @param adapter adapter to hold; empty for none
 * @param engines number of engines of the pool that hold it; 0 for all
 */
public record Placement(String pool, String model, String version, String adapter, int engines) {}
