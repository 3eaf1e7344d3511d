package org.dragonflygw.core.placement;

/** Action of an order to an engine. */
public enum OrderAction {
    LOAD,
    UNLOAD
}
