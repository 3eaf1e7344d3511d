package org.dragonflygw.bench.history;

/** How a request ended for its caller. */
public enum Ending {
    /** With an answer that says it is whole. */
    WHOLE,
    /** With a typed error. */
    ERROR,
    /** The connection broke without a word. */
    BROKEN
}
