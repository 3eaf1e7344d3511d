package org.dragonflygw.core.config;

import org.dragonflygw.core.error.ErrorCode;

/** Error codes of reading and applying the stored configuration. */
public enum ConfigCode implements ErrorCode {
    /** The store could not be reached. This attempt changed nothing; an earlier one with the same token may have. */
    NOT_APPLIED,
    /** The store's response was lost and the outcome is unknown. Apply again with the same token. */
    OUTCOME_UNKNOWN,
    /** The token was used before for a sheet with different content. */
    TOKEN_REUSED,
    /** The stored version row cannot be parsed, or the stored content does not match its digest. */
    MALFORMED,
    /** The store could not be read. */
    STORE_UNAVAILABLE
}
