package org.dragonflygw.daemon.grant;

import org.dragonflygw.core.error.ErrorCode;

/** Error codes of {@link GrantException}. */
enum GrantCode implements ErrorCode {
    /** No daemon is steward of the engine, or not yet. */
    NO_STEWARD,
    /** The call to the steward failed, or the steward did not answer in time. */
    STEWARD_UNREACHABLE
}
