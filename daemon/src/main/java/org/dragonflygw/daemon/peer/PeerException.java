package org.dragonflygw.daemon.peer;

import org.dragonflygw.core.error.CodedException;

/** A failed call to another daemon. */
public final class PeerException extends CodedException {
    public PeerException(PeerCode code, String message) {
        super(code, message);
    }

    public PeerException(PeerCode code, String message, Throwable cause) {
        super(code, message, cause);
    }

    /** Whether the call may have taken effect. */
    public boolean isOutcomeUnknown() {
        return code() == PeerCode.OUTCOME_UNKNOWN;
    }
}
