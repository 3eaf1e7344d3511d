package org.dragonflygw.wire.codec;

import org.dragonflygw.core.error.CodedException;

/** A message between daemons that cannot be used. */
public final class WireException extends CodedException {
    public WireException(WireCode code, String message) {
        super(code, message);
    }

    public WireException(WireCode code, String message, Throwable cause) {
        super(code, message, cause);
    }
}
