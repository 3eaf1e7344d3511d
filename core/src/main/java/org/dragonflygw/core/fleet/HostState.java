package org.dragonflygw.core.fleet;

/** State of a host in the platform's list. */
public enum HostState {
    LIVE,
    LEAVING
}
