package org.dragonflygw.core.fleet;

/** State of an endpoint as this daemon sees it, from the host list, load reports and own failures. */
public enum EndpointState {
    /** Takes new work. */
    LIVE,
    /** Takes no new work because it failed or flapped; probed until it is live again. */
    SUSPENDED,
    /** Finishes what it has and takes no new work. */
    LEAVING
}
