package org.dragonflygw.core.storage;

import org.dragonflygw.core.error.CodedException;

/** Thrown if a call to the platform's storage service fails. */
public final class StorageException extends CodedException {
    public StorageException(StorageCode code, String message) {
        super(code, message);
    }

    public StorageException(StorageCode code, String message, Throwable cause) {
        super(code, message, cause);
    }

    /** Whether the call may have taken effect. */
    public boolean outcomeUnknown() {
        return code() == StorageCode.OUTCOME_UNKNOWN;
    }
}
