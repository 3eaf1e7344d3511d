package org.dragonflygw.edge.store;

import java.util.Optional;
import org.dragonflygw.core.storenews.StoreEra;

/**
 * Result of a call to the store: an HTTP response or a failure.
 *
 * @param status HTTP status, 0 if there was no response
 * @param era era of the store that the response names, or {@link StoreEra#UNKNOWN}
 * @param body response body
 * @param sentNanos time when the call was sent, from {@link System#nanoTime()}
 * @param failure reason of the failure if there was no response
 */
@SuppressWarnings("ArrayRecordComponent") // Responses are read once and never compared.
record StoreResponse(int status, long era, byte[] body, long sentNanos, Optional<String> failure) {
    private static final int STATUS_OK = 200;
    private static final byte[] NO_BYTES = {};

    static StoreResponse failed(String failure, long sentNanos) {
        return new StoreResponse(0, StoreEra.UNKNOWN, NO_BYTES, sentNanos, Optional.of(failure));
    }

    boolean isOk() {
        return status == STATUS_OK;
    }

    /** Returns the reason of the failure for logs: the failure itself, or the HTTP status. */
    String problem() {
        return failure.orElse("status " + status);
    }
}
