package org.dragonflygw.core.request;

import org.dragonflygw.core.error.CodedException;

/** Thrown if a request of a caller is invalid. The request was not run. */
public final class RequestException extends CodedException {

    public RequestException(RequestCode code, String detail) {
        super(code, detail);
    }
}
