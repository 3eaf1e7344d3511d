package org.dragonflygw.core.exchange;

/** How far the response to an attempt had come. */
public enum ResponseProgress {
    /** Nothing was read. */
    NONE,
    /** The head was read, but nothing of the body. */
    HEAD,
    /** The endpoint has only just begun to write its response. */
    BEGUN,
    /** The endpoint had been writing its response for some time. */
    SETTLED
}
