package org.dragonflygw.core.placement;

/** What an order tells an engine to do. */
public enum OrderAction {
    LOAD,
    UNLOAD
}
