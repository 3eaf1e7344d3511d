package org.dragonflygw.core.config;

/**
 * Placement row of a sheet: a model that engines of a pool should have loaded.
 *
 * @param pool pool of engines
 * @param model name of the model
 * @param version version of the model
 * @param adapter name of the adapter; empty for none
 * @param engines number of engines of the pool that load the model; 0 for all
 */
public record Placement(String pool, String model, String version, String adapter, int engines) {}
