package org.dragonflygw.core.placement;

/**
 * The next order of an engine. An order names a desired state and is therefore idempotent.
 *
 * @param engineId id of the engine
 * @param action load or unload
 * @param unit model or adapter
 */
public record PlannedOrder(String engineId, OrderAction action, ModelUnit unit) {}
