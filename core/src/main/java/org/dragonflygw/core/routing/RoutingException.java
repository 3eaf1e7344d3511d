package org.dragonflygw.core.routing;

import org.dragonflygw.core.error.CodedException;

/** Thrown when no slot is granted to a request. The request was certainly not run by this attempt. */
public final class RoutingException extends CodedException {
    private final long retryAfterMillis;

    public RoutingException(RoutingCode code, String message, long retryAfterMillis) {
        super(code, message);
        this.retryAfterMillis = retryAfterMillis;
    }

    /** Time after which a retry makes sense, in milliseconds; 0 if a retry never does. */
    public long retryAfterMillis() {
        return retryAfterMillis;
    }
}
