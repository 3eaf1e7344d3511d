package org.dragonflygw.core.fleet;

/** State of an endpoint as known to this daemon from the host list, load reports and failures of its own requests. */
public enum EndpointState {
    /** Takes new work. */
    LIVE,
    /** Takes no new work after failures or flapping; probed until live again. */
    SUSPENDED,
    /** Finishes its open requests and takes no new work. */
    LEAVING
}
