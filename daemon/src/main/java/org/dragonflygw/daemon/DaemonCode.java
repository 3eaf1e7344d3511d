package org.dragonflygw.daemon;

import org.dragonflygw.core.error.ErrorCode;

/** Error codes of {@link DaemonException}. */
public enum DaemonCode implements ErrorCode {
    /** A port could not be opened or a subsystem could not start. */
    START_FAILED,
    /** A port or subsystem could not be closed. */
    STOP_FAILED
}
