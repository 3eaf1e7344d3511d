package org.dragonflygw.core.storage;

import org.dragonflygw.core.error.CodedException;

/** A failed call to the platform's service. */
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
