package org.dragonflygw.edge.soak;

/**
 * What a caller saw of one attempt.
 *
 * @param id id of the attempt
 * @param host number of the host it was sent to
 * @param kind kind of the request
 * @param key key it was sent with
 * @param sentNanos when its last byte was written
 * @param endNanos when it ended
 * @param status status of the answer, 0 if there was none
 * @param signed whether the answer has an endpoint's signature
 * @param whole whether the answer was complete
 * @param body body of the answer
 */
record Outcome(
        String id,
        int host,
        RequestKind kind,
        String key,
        long sentNanos,
        long endNanos,
        int status,
        boolean signed,
        boolean whole,
        String body) {
    boolean success() {
        return status == 200 && whole;
    }
}
