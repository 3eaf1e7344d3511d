package org.dragonflygw.standins.http;

import org.dragonflygw.core.error.ErrorCode;

/** Failures of the stand-ins. */
public enum StandinCode implements ErrorCode {
    /** The command line cannot be read. */
    USAGE,
    /** The server could not open or close its port. */
    PORT,
    /** A value could not be written as JSON. */
    NOT_ENCODABLE,
    /** The body of a request could not be read. */
    BAD_REQUEST,
    /** The stand-in could not be entered in the platform's host list. */
    REGISTRATION
}
