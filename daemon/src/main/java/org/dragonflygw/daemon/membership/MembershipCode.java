package org.dragonflygw.daemon.membership;

import org.dragonflygw.core.error.ErrorCode;

/** Error codes of {@link MembershipException}. */
public enum MembershipCode implements ErrorCode {
    /** Gossip has not started yet. */
    NOT_STARTED,
    /** A gossip message could not be encoded to determine its size. */
    ENCODING
}
