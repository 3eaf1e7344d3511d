package org.dragonflygw.edge.soak;

/** Kinds of requests that callers send. */
enum RequestKind {
    /** May run only once. */
    ONCE("/once/"),
    /** May run again. */
    AGAIN("/plain/"),
    /** A stream that may be resumed. */
    STREAM("/stream/");

    private final String prefix;

    RequestKind(String prefix) {
        this.prefix = prefix;
    }

    String target(String id) {
        return prefix + id;
    }
}
