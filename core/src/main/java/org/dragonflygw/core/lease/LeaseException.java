package org.dragonflygw.core.lease;

import org.dragonflygw.core.error.CodedException;

/** A failure of a lease. */
public final class LeaseException extends CodedException {
    public LeaseException(LeaseCode code, String message) {
        super(code, message);
    }

    public LeaseException(LeaseCode code, String message, Throwable cause) {
        super(code, message, cause);
    }
}
