package org.dragonflygw.daemon.peer;

import org.dragonflygw.core.error.ErrorCode;

/** Error codes of {@link PeerException}. */
public enum PeerCode implements ErrorCode {
    /** The call was certainly not sent. */
    NOT_SENT,
    /** The call was sent, and its answer was lost or came too late; it may have taken effect. */
    OUTCOME_UNKNOWN,
    /** The other daemon received the call and answered with an error. */
    REFUSED
}
