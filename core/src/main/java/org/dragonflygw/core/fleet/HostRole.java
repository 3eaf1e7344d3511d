package org.dragonflygw.core.fleet;

/** What runs on a host of the platform's list. */
public enum HostRole {
    /** A router daemon; its port is the one for other daemons. */
    ROUTER,
    /** A model engine. */
    ENGINE,
    /** A plain service. */
    PLAIN
}
