package org.dragonflygw.daemon.membership;

import org.dragonflygw.core.error.CodedException;

/** Thrown when this daemon cannot take part in gossip. */
public final class MembershipException extends CodedException {
    public MembershipException(MembershipCode code, String message) {
        super(code, message);
    }

    public MembershipException(MembershipCode code, String message, Throwable cause) {
        super(code, message, cause);
    }
}
