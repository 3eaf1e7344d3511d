package org.dragonflygw.core.placement;

import java.util.Set;

/**
 * What an engine holds, as it reported last.
 *
 * @param engineId engine
 * @param loaded units that it holds
 * @param orderOutstanding whether an order to it may still be under way
 */
public record EngineInventory(String engineId, Set<ModelUnit> loaded, boolean orderOutstanding) {
    public EngineInventory {
        loaded = Set.copyOf(loaded);
    }
}
