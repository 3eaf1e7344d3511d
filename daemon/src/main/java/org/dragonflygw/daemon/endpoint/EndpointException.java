package org.dragonflygw.daemon.endpoint;

import org.dragonflygw.core.error.CodedException;

/** A failed call to an endpoint. */
public final class EndpointException extends CodedException {
    public EndpointException(EndpointCode code, String message) {
        super(code, message);
    }

    public EndpointException(EndpointCode code, String message, Throwable cause) {
        super(code, message, cause);
    }

    /** Whether it is certain that the request was never sent to the endpoint. */
    public boolean isNotSent() {
        return code() == EndpointCode.NOT_CONNECTED || code() == EndpointCode.DISPATCH_WITHDRAWN;
    }
}
