package org.dragonflygw.core.stream;

import org.dragonflygw.core.error.ErrorCode;

/** Faults in the bytes of a stream of events. */
public enum StreamCode implements ErrorCode {
    /** An event is longer than its bound. */
    EVENT_TOO_LARGE,
    /** An event cannot be read. */
    MALFORMED_EVENT
}
