package org.dragonflygw.core.dispatch;

/** The reason why no endpoint can serve a request. */
public enum UnavailableReason {
    /** The request can be served. */
    NONE,
    /** No endpoint of the service accepts new requests. */
    NO_ENDPOINT,
    /** No endpoint of the software version that began the stream accepts new requests. */
    NO_VERSION,
    /** All endpoints that accept new requests are in availability zones that are evacuated. */
    EVACUATED,
    /** All endpoints of the service asked for a time without requests. */
    QUIET,
    /** All endpoints of the service asked for a time without requests or name a limit of which nothing is left. */
    LIMITED,
    /** All endpoints of the service are at capacity. */
    BUSY,
    /** The response would begin only after the request times out. */
    TOO_LATE
}
