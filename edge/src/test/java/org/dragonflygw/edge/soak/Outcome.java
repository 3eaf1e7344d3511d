package org.dragonflygw.edge.soak;

/**
 * Result of one attempt as the caller saw it.
 *
 * @param id id of the attempt
 * @param path id of the request's first attempt, which names its path and body
 * @param host index of the host the attempt was sent to
 * @param kind kind of the request
 * @param key key that the attempt was sent with
 * @param sentNanos time when the request was sent, from {@link System#nanoTime()}
 * @param endNanos time when the attempt ended
 * @param status HTTP status, 0 if there was no response
 * @param signed whether the response has the signature of an endpoint
 * @param whole whether the response was complete
 * @param body body of the response
 * @param resumes id of the attempt whose stream this one takes up, empty if none
 * @param lastEvent number of the last event that the caller had before
 */
record Outcome(
        String id,
        String path,
        int host,
        RequestKind kind,
        String key,
        long sentNanos,
        long endNanos,
        int status,
        boolean signed,
        boolean whole,
        String body,
        String resumes,
        int lastEvent) {
    boolean success() {
        return status == 200 && whole;
    }
}
