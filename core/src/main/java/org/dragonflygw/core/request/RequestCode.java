package org.dragonflygw.core.request;

import org.dragonflygw.core.error.ErrorCode;

/** Why a request of a caller cannot be read. None of these was run. */
public enum RequestCode implements ErrorCode {
    /** The body is no JSON object of the expected shape. */
    INVALID_BODY,
    /** A header has a wrong value. */
    INVALID_HEADER,
    /** The request must run at most once but carries no key to recognise it by. */
    IDEMPOTENCY_KEY_REQUIRED
}
