package org.dragonflygw.daemon.endpoint;

import org.dragonflygw.core.error.ErrorCode;

/** Failures of calls to endpoints. */
public enum EndpointCode implements ErrorCode {
    /** No connection could be made, so nothing was sent. */
    NOT_CONNECTED,
    /** The sender withdrew the request before anything was sent. */
    DISPATCH_WITHDRAWN,
    /** The connection was lost after it was made; the endpoint may have taken the request. */
    CONNECTION_LOST,
    /** Nothing came for longer than the limit; the endpoint may have taken the request. */
    CONNECTION_SILENT,
    /** The answer is no valid HTTP, or is not what was asked for. */
    MALFORMED_ANSWER,
    /** The answer is longer than its bound. */
    ANSWER_TOO_LARGE,
    /** The stream could not be resumed and the rest of the answer is lost. */
    STREAM_LOST
}
