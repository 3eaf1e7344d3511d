package org.dragonflygw.core.routing;

/** How an attempt on an endpoint ended. */
public enum AttemptOutcome {
    /** The endpoint returned a complete answer. */
    COMPLETED,
    /** The endpoint answered with an error. */
    FAILED,
    /** The caller disconnected or the deadline passed. */
    CANCELLED,
    /** The connection was lost and could not be resumed; the endpoint may have crashed while it ran the request. */
    ENDPOINT_LOST,
    /** The endpoint could not be reached; the request was certainly not sent. */
    UNREACHABLE
}
