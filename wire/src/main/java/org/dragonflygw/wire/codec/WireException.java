package org.dragonflygw.wire.codec;

import org.dragonflygw.core.error.CodedException;

/** Thrown when a message between processes cannot be encoded, or when a received one is invalid. */
public final class WireException extends CodedException {
    public WireException(WireCode code, String message) {
        super(code, message);
    }

    public WireException(WireCode code, String message, Throwable cause) {
        super(code, message, cause);
    }
}
