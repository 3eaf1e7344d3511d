package org.dragonflygw.standins.engine;

/**
 * A model that an engine holds.
 *
 * @param model name of the model
 * @param version version of the model
 * @param adapter adapter; empty for none
 */
public record LoadedModel(String model, String version, String adapter) {}
