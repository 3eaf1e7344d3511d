package org.dragonflygw.core.lease;

import org.dragonflygw.core.error.CodedException;

/** Thrown when a lease is not held or its stored row is malformed. */
public final class LeaseException extends CodedException {
    public LeaseException(LeaseCode code, String message) {
        super(code, message);
    }

    public LeaseException(LeaseCode code, String message, Throwable cause) {
        super(code, message, cause);
    }
}
