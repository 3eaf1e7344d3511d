package org.dragonflygw.wire.codec;

import org.dragonflygw.core.error.ErrorCode;

/** Error codes of {@link WireException}. */
public enum WireCode implements ErrorCode {
    /** The message cannot be encoded or decoded, or a field is missing or out of range. */
    MALFORMED_MESSAGE,
    /** The content is larger than the receiver allows. */
    TOO_LARGE
}
