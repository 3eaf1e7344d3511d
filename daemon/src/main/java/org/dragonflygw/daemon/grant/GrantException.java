package org.dragonflygw.daemon.grant;

import org.dragonflygw.core.error.CodedException;

/** A failed call about grants. */
final class GrantException extends CodedException {
    GrantException(GrantCode code, String message, Throwable cause) {
        super(code, message, cause);
    }
}
