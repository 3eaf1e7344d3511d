package org.dragonflygw.daemon.grant;

import org.dragonflygw.core.error.CodedException;

/** Thrown when the steward of an engine gave no decision about a grant. */
final class GrantException extends CodedException {
    GrantException(GrantCode code, String message, Throwable cause) {
        super(code, message, cause);
    }
}
