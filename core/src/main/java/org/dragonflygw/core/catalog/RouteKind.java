package org.dragonflygw.core.catalog;

/** Whether requests of a route may be retried when the outcome of an attempt is unknown. */
public enum RouteKind {
    /** May run more than once. */
    IDEMPOTENT,
    /** Runs at most once per request of the caller. */
    NON_IDEMPOTENT,
    /** Answered with an event stream; runs at most once unless the stream is resumable. */
    STREAMING
}
