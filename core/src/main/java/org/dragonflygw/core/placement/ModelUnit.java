package org.dragonflygw.core.placement;

/**
 * What an engine can hold: a version of a model, or an adapter on it.
 *
 * @param model model
 * @param version version of the model
 * @param adapter adapter; empty for the model itself
 */
public record ModelUnit(String model, String version, String adapter) {
    /** The model that an adapter needs; the unit itself when it is a model. */
    public ModelUnit base() {
        return adapter.isEmpty() ? this : new ModelUnit(model, version, "");
    }
}
