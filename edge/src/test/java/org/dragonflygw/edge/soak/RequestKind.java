package org.dragonflygw.edge.soak;

/** Kinds of requests that callers send, each with the path of a route of its kind. */
enum RequestKind {
    /** Not idempotent: may be executed only once. */
    ONCE("/once/"),
    /** Idempotent: may be executed again after a failure. */
    AGAIN("/plain/"),
    /** Streamed response that may be resumed at another endpoint. */
    STREAM("/stream/");

    private final String prefix;

    RequestKind(String prefix) {
        this.prefix = prefix;
    }

    String target(String id) {
        return prefix + id;
    }
}
