package org.dragonflygw.bench.history;

/** How a request ended for its caller. */
public enum Ending {
    /** The caller received an answer marked as complete. */
    WHOLE,
    /** The caller received a typed error. */
    ERROR,
    /** The connection broke without an error message. */
    BROKEN
}
