package org.dragonflygw.daemon;

import org.dragonflygw.core.error.CodedException;

/** Thrown when the daemon could not start or stop. */
public final class DaemonException extends CodedException {
    public DaemonException(DaemonCode code, String message, Throwable cause) {
        super(code, message, cause);
    }
}
