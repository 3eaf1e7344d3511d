package org.dragonflygw.core.request;

import org.dragonflygw.core.error.CodedException;

/** A request that cannot be read. It was not run. */
public final class RequestException extends CodedException {

    public RequestException(RequestCode code, String detail) {
        super(code, detail);
    }
}
