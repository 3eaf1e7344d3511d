package org.dragonflygw.daemon.peer;

import org.dragonflygw.core.error.CodedException;

/** Thrown when a call to another daemon failed. */
public final class PeerException extends CodedException {
    public PeerException(PeerCode code, String message) {
        super(code, message);
    }

    public PeerException(PeerCode code, String message, Throwable cause) {
        super(code, message, cause);
    }

    /** Returns whether the call may have taken effect. */
    public boolean isOutcomeUnknown() {
        return code() == PeerCode.OUTCOME_UNKNOWN;
    }
}
