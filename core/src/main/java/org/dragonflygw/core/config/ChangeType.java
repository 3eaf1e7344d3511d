package org.dragonflygw.core.config;

/** How a row differs between two sheets. */
public enum ChangeType {
    ADDED,
    REMOVED,
    CHANGED
}
