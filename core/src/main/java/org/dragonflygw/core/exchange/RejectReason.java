package org.dragonflygw.core.exchange;

import org.dragonflygw.core.dispatch.UnavailableReason;

/** Why a caller gets a response of this host instead of an endpoint's, with the HTTP status of that response. */
public enum RejectReason {
    /** No route matches. */
    NO_ROUTE(404),
    /** The API key is missing or unknown. */
    UNKNOWN_KEY(401),
    /** This host has not received a configuration yet. */
    NO_CONFIGURATION(503),
    /** API keys cannot be confirmed because the store is unreachable. */
    KEYS_UNCONFIRMED(503),
    /** The service has no endpoint. */
    NO_ENDPOINT(503),
    /** All endpoints are in availability zones that are evacuated. */
    ZONE_EVACUATED(503),
    /** All endpoints asked for a time without requests. */
    ENDPOINTS_QUIET(503),
    /** All endpoints name a limit, and nothing is left of it. */
    ENDPOINTS_LIMITED(503),
    /** All endpoints are at their capacity. */
    BUSY(503),
    /** The response would come after the deadline. */
    TOO_LATE(503),
    /** Endpoints rejected the request without running it, and no further attempt is allowed. */
    ENDPOINT_REJECTED(503),
    /** No endpoint could be reached; nothing was sent. */
    UNREACHABLE(503),
    /** Connections to several endpoints were lost while they worked on this request, so it is blocked for a while. */
    CRASHES_ENDPOINTS(503),
    /** Several endpoints ended as they began to answer prompts with one part of this one, so the part is blocked. */
    CRASHING_PROMPT_PART(503),
    /** No host knows at which software version the stream began that the caller takes up, and several may have. */
    STREAM_ORIGIN_UNKNOWN(503),
    /** No endpoint of the software version that began the stream takes requests. */
    NO_ENDPOINT_OF_VERSION(503),
    /** The request bodies that this host holds in memory exceed its limit. */
    OVERLOADED(503),
    /** This process exits before the request could be sent. */
    STOPPING(503),
    /** An endpoint failed after the request was sent; it may have run. */
    ENDPOINT_FAILED(502),
    /** The deadline passed after the request was sent; it may have run. */
    TIMED_OUT(504),
    /** The request is malformed. */
    BAD_REQUEST(400),
    /** The request head is too large. */
    HEAD_TOO_LARGE(431),
    /** The request body is too large. */
    BODY_TOO_LARGE(413);

    private final int status;

    /** Returns the reason to give to a caller when no endpoint can be chosen. */
    static RejectReason of(UnavailableReason reason) {
        return switch (reason) {
            case EVACUATED -> ZONE_EVACUATED;
            case QUIET -> ENDPOINTS_QUIET;
            case NO_VERSION -> NO_ENDPOINT_OF_VERSION;
            case LIMITED -> ENDPOINTS_LIMITED;
            case BUSY -> BUSY;
            case TOO_LATE -> TOO_LATE;
            default -> NO_ENDPOINT;
        };
    }

    RejectReason(int status) {
        this.status = status;
    }

    /** The HTTP status. */
    public int status() {
        return status;
    }
}
