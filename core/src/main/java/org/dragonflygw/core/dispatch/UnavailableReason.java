package org.dragonflygw.core.dispatch;

/** Why no endpoint can take a request. */
public enum UnavailableReason {
    /** It can be served. */
    NONE,
    /** The service has no endpoint that takes new work. */
    NO_ENDPOINT,
    /** All endpoints of the service are full. */
    BUSY,
    /** The answer would begin after the time that is left. */
    TOO_LATE
}
