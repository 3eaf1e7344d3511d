package org.dragonflygw.daemon.endpoint;

import org.dragonflygw.core.error.ErrorCode;

/** Error codes of failed calls to endpoints. */
public enum EndpointCode implements ErrorCode {
    /** No connection could be made, so nothing was sent. */
    NOT_CONNECTED,
    /** The sender withdrew the request before anything was sent. */
    DISPATCH_WITHDRAWN,
    /** The connection was lost after it was made; the endpoint may have received the request. */
    CONNECTION_LOST,
    /** The connection was silent for longer than the limit; the endpoint may have received the request. */
    CONNECTION_SILENT,
    /** The response is not valid HTTP, or not a response to the request. */
    MALFORMED_ANSWER,
    /** The response is longer than the maximum. */
    ANSWER_TOO_LARGE,
    /** The stream could not be resumed; the rest of the response is lost. */
    STREAM_LOST
}
