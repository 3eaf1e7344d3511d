package org.dragonflygw.core.request;

import org.dragonflygw.core.error.ErrorCode;

/** Reasons for which a request of a caller is invalid. A request that is refused with one of these was not run. */
public enum RequestCode implements ErrorCode {
    /** The body is not a JSON object of the expected form. */
    INVALID_BODY,
    /** A header has an invalid value. */
    INVALID_HEADER,
    /** The request must run at most once but has no idempotency key. */
    IDEMPOTENCY_KEY_REQUIRED
}
