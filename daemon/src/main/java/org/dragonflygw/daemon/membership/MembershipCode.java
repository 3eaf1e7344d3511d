package org.dragonflygw.daemon.membership;

import org.dragonflygw.core.error.ErrorCode;

/** Failures of the membership of this daemon. */
public enum MembershipCode implements ErrorCode {
    /** Gossip has not started yet. */
    NOT_STARTED,
    /** A message could not be measured. */
    ENCODING
}
