package org.dragonflygw.core.storage;

import org.dragonflygw.core.error.ErrorCode;

/** Failures of the platform's service as the core sees them. */
public enum StorageCode implements ErrorCode {
    /** The request did not take effect: the service was not reached or refused it. */
    UNAVAILABLE,
    /** The request did not take effect: the service is over its rate limit. */
    THROTTLED,
    /** The request may or may not have taken effect: its answer was lost. Read back to find out. */
    OUTCOME_UNKNOWN,
    /** The named object does not exist. */
    NOT_FOUND,
    /** The service answered something that cannot be read. */
    MALFORMED
}
