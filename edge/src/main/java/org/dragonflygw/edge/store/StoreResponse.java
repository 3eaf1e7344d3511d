package org.dragonflygw.edge.store;

import java.util.Optional;

/**
 * What became of a call of the store.
 *
 * @param status HTTP status, 0 if there was no answer
 * @param body its body
 * @param sentNanos when the call was sent, on the monotonic clock
 * @param failure what went wrong if there was no answer
 */
@SuppressWarnings("ArrayRecordComponent") // Answers are read once and never compared.
record StoreResponse(int status, byte[] body, long sentNanos, Optional<String> failure) {
    private static final int STATUS_OK = 200;
    private static final byte[] NO_BYTES = {};

    static StoreResponse failed(String failure, long sentNanos) {
        return new StoreResponse(0, NO_BYTES, sentNanos, Optional.of(failure));
    }

    boolean isOk() {
        return status == STATUS_OK;
    }

    /** Why the call did not succeed, for logs. */
    String problem() {
        return failure.orElse("status " + status);
    }
}
