package org.dragonflygw.core.config;

/** Kind of the endpoints of a service. */
public enum ServiceKind {
    /** Engines that serve a language model. */
    MODEL,
    /** Plain HTTP endpoints. */
    PLAIN
}
