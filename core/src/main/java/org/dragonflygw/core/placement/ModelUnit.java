package org.dragonflygw.core.placement;

/**
 * Unit that an engine can load: a version of a model, or an adapter for that version.
 *
 * @param model name of the model
 * @param version version of the model
 * @param adapter name of the adapter; empty for the model itself
 */
public record ModelUnit(String model, String version, String adapter) {
    /** The model that an adapter needs; this unit if it is a model. */
    public ModelUnit base() {
        return adapter.isEmpty() ? this : new ModelUnit(model, version, "");
    }
}
