package org.dragonflygw.core.config;

import org.dragonflygw.core.error.ErrorCode;

/** Why a sheet was neither accepted nor refused for a conflict. */
public enum ConfigCode implements ErrorCode {
    /** The store could not be reached; this attempt changed nothing. An earlier one with the same token may have. */
    NOT_APPLIED,
    /** The store's answer was lost and could not be found out; apply again with the same token. */
    OUTCOME_UNKNOWN,
    /** The token was used before for a sheet with other content. */
    TOKEN_REUSED,
    /** The store holds something that is not a version row or not the named content. */
    MALFORMED,
    /** The store could not be read. */
    STORE_UNAVAILABLE
}
