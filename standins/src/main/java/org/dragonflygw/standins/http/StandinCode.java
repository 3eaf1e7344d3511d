package org.dragonflygw.standins.http;

import org.dragonflygw.core.error.ErrorCode;

/** Error codes of {@link StandinException}. */
public enum StandinCode implements ErrorCode {
    /** The command line or its settings directory is not usable. */
    USAGE,
    /** A server could not open or close its port. */
    PORT,
    /** A value could not be serialized as JSON. */
    NOT_ENCODABLE,
    /** A request has an invalid body, header or query parameter. */
    BAD_REQUEST,
    /** The platform's host list could not be changed. */
    REGISTRATION
}
