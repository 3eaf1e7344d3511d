package org.dragonflygw.core.config;

/** What stands behind a service. */
public enum ServiceKind {
    /** Model engines. */
    MODEL,
    /** Plain services. */
    PLAIN
}
