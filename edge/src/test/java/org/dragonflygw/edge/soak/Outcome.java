package org.dragonflygw.edge.soak;

/**
 * Result of one attempt as the caller saw it.
 *
 * @param id id of the attempt
 * @param host index of the host the attempt was sent to
 * @param kind kind of the request
 * @param key key that the attempt was sent with
 * @param sentNanos time when the request was sent, from {@link System#nanoTime()}
 * @param endNanos time when the attempt ended
 * @param status HTTP status, 0 if there was no response
 * @param signed whether the response has the signature of an endpoint
 * @param whole whether the response was complete
 * @param body body of the response
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
