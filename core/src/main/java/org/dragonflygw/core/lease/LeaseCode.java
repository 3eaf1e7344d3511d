package org.dragonflygw.core.lease;

import org.dragonflygw.core.error.ErrorCode;

/** Error codes of leases. */
public enum LeaseCode implements ErrorCode {
    /** This daemon does not hold the lease, or the rest of its term is shorter than the margin. */
    NOT_HELD,
    /** The stored row of a lease cannot be parsed. */
    MALFORMED
}
