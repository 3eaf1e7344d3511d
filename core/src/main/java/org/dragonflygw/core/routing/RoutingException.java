package org.dragonflygw.core.routing;

import org.dragonflygw.core.error.CodedException;

/** No slot could be had for a request. The request was certainly not run by this attempt. */
public final class RoutingException extends CodedException {
    private final long retryAfterMillis;

    public RoutingException(RoutingCode code, String message, long retryAfterMillis) {
        super(code, message);
        this.retryAfterMillis = retryAfterMillis;
    }

    /** When a new try makes sense, in milliseconds from now; 0 when it never does. */
    public long retryAfterMillis() {
        return retryAfterMillis;
    }
}
