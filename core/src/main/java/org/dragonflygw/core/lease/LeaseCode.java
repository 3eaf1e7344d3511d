package org.dragonflygw.core.lease;

import org.dragonflygw.core.error.ErrorCode;

/** Failures of leases. */
public enum LeaseCode implements ErrorCode {
    /** The lease is not held, or too short a time is left of it. */
    NOT_HELD,
    /** The row of a lease cannot be read. */
    MALFORMED
}
