package org.dragonflygw.core.placement;

/**
 * The next order of an engine. It names a desired state, so that running it twice changes nothing more.
 *
 * @param engineId engine
 * @param action what to do
 * @param unit with what
 */
public record PlannedOrder(String engineId, OrderAction action, ModelUnit unit) {}
