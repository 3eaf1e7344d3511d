package org.dragonflygw.core.exchange;

/** Why a caller gets an answer of this host instead of an endpoint's. */
public enum RejectReason {
    /** No route matches. */
    NO_ROUTE(404),
    /** The key is missing or unknown. */
    UNKNOWN_KEY(401),
    /** No configuration is known yet. */
    NO_CONFIGURATION(503),
    /** Keys cannot be confirmed, as the store is out of reach. */
    KEYS_UNCONFIRMED(503),
    /** The service has no endpoint. */
    NO_ENDPOINT(503),
    /** All endpoints are full. */
    BUSY(503),
    /** The answer would come too late. */
    TOO_LATE(503),
    /** Endpoints rejected the request without running it, and it cannot be sent again. */
    ENDPOINT_REJECTED(503),
    /** No endpoint could be reached; nothing was sent. */
    UNREACHABLE(503),
    /** Endpoints were lost while they worked on this request, so that it is not sent again for a while. */
    CRASHES_ENDPOINTS(503),
    /** This host holds too many requests. */
    OVERLOADED(503),
    /** An endpoint failed after the request was sent; it may have run. */
    ENDPOINT_FAILED(502),
    /** The time ran out after the request was sent; it may have run. */
    TIMED_OUT(504),
    /** The request is malformed. */
    BAD_REQUEST(400),
    /** The head is too large. */
    HEAD_TOO_LARGE(431),
    /** The body is too large. */
    BODY_TOO_LARGE(413);

    private final int status;

    RejectReason(int status) {
        this.status = status;
    }

    /** The HTTP status. */
    public int status() {
        return status;
    }
}
