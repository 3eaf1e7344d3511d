package org.dragonflygw.wire.codec;

import org.dragonflygw.core.error.ErrorCode;

/** Why a message between daemons was refused. */
public enum WireCode implements ErrorCode {
    /** A field is missing or out of its bounds. */
    MALFORMED_MESSAGE,
    /** The message is larger than allowed. */
    TOO_LARGE
}
