package org.dragonflygw.core.catalog;

/** What may be done with a request of a route when its outcome is uncertain. */
public enum RouteKind {
    /** May run more than once. */
    IDEMPOTENT,
    /** Runs at most once for each attempt of the caller. */
    NON_IDEMPOTENT,
    /** Answered by a series of events; runs at most once unless the stream can be resumed. */
    STREAMING
}
