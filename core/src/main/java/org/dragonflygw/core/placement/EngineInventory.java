package org.dragonflygw.core.placement;

import java.util.Set;

/**
 * Models and adapters on an engine, as last reported by the engine.
 *
 * @param engineId id of the engine
 * @param loaded loaded units
 * @param orderOutstanding whether an order to the engine may still be running
 */
public record EngineInventory(String engineId, Set<ModelUnit> loaded, boolean orderOutstanding) {
    public EngineInventory {
        loaded = Set.copyOf(loaded);
    }
}
