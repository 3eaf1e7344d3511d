package org.dragonflygw.core.routing;

/** How an attempt on an endpoint ended. */
public enum AttemptOutcome {
    /** A whole answer came. */
    COMPLETED,
    /** The endpoint answered with an error. */
    FAILED,
    /** The caller went away or the deadline passed. */
    CANCELLED,
    /** The connection was lost or refused and could not be resumed; the endpoint may have crashed. */
    ENDPOINT_LOST
}
