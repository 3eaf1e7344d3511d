package org.dragonflygw.core.fleet;

/** State of a host in the platform's host list. */
public enum HostState {
    LIVE,
    LEAVING
}
