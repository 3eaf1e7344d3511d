package org.dragonflygw.core.stream;

import org.dragonflygw.core.error.ErrorCode;

/** Errors in the encoding of a stream of server-sent events. */
public enum StreamCode implements ErrorCode {
    /** An event is longer than the maximum. */
    EVENT_TOO_LARGE,
    /** An event cannot be decoded. */
    MALFORMED_EVENT
}
