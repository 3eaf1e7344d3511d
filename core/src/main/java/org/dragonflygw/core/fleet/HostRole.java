package org.dragonflygw.core.fleet;

/** Role of a host in the platform's host list. */
public enum HostRole {
    /** A router daemon; the port of the entry is its peer port. */
    ROUTER,
    /** A model engine. */
    ENGINE,
    /** A plain service. */
    PLAIN
}
