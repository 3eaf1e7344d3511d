package org.dragonflygw.edge.soak;

import org.dragonflygw.standins.loopback.LoopbackPlatform;

/**
 * What a caller knows of an attempt when it sends it.
 *
 * @param id id of the attempt
 * @param path id of the request's first attempt, which names its path and body
 * @param host index of the host that gets it
 * @param kind kind of the request
 * @param key key that it is sent with
 * @param position how far the caller has read the stream
 */
record AttemptFacts(String id, String path, int host, RequestKind kind, String key, StreamPosition position) {
    private static final int DEADLINE_MS = 3_000;

    /** Returns the request as it is sent. */
    String request() {
        String body = kind.body(path);
        String resumption = position.lastEvent() == 0
                ? ""
                : "Resumes: " + position.originAttempt() + "\r\nLast-Event-Id: " + position.lastEvent() + "\r\n";
        return "POST " + kind.target(path) + " HTTP/1.1\r\nHost: " + LoopbackPlatform.HOST
                + "\r\nDragonflygw-Attempt-Id: " + id + "\r\nDragonflygw-Deadline-Ms: " + DEADLINE_MS
                + "\r\nAuthorization: Bearer " + key + "\r\n" + resumption
                + "Dragonflygw-Tenant: forged\r\nDragonflygw-Token-Usage: 1200,50\r\nDragonflygw-Prefix-Hash: "
                + kind.promptParts(path) + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    Outcome outcome(long sentNanos, int status, boolean signed, boolean whole, String body) {
        return new Outcome(
                id,
                path,
                host,
                kind,
                key,
                sentNanos,
                System.nanoTime(),
                status,
                signed,
                whole,
                body,
                position.originAttempt(),
                position.lastEvent());
    }
}
