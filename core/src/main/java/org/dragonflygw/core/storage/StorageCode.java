package org.dragonflygw.core.storage;

import org.dragonflygw.core.error.ErrorCode;

/** Kinds of failure of a call to the platform's storage service. */
public enum StorageCode implements ErrorCode {
    /** The call did not take effect: the service could not be reached or refused it. */
    UNAVAILABLE,
    /** The call did not take effect: its rate limit is exceeded. */
    THROTTLED,
    /** The call may or may not have taken effect: its response was lost. A later read shows which. */
    OUTCOME_UNKNOWN,
    /** The object does not exist. */
    NOT_FOUND,
    /** The response of the service cannot be decoded. */
    MALFORMED
}
