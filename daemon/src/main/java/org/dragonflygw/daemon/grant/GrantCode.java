package org.dragonflygw.daemon.grant;

import org.dragonflygw.core.error.ErrorCode;

/** Failures of calls about grants. */
enum GrantCode implements ErrorCode {
    /** No daemon owns the subject. */
    NO_STEWARD,
    /** The owner of the subject gave no answer. */
    STEWARD_UNREACHABLE
}
