package org.dragonflygw.standins.engine;

/**
 * A model that an engine has loaded.
 *
 * @param model name of the model
 * @param version version of the model
 * @param adapter name of the adapter; empty for none
 */
public record LoadedModel(String model, String version, String adapter) {}
