package org.dragonflygw.daemon.caller;

import jakarta.ws.rs.core.HttpHeaders;
import org.dragonflygw.core.request.RequestHeaders;

/** Reads the headers of the callers' interface from a request. */
final class HeaderReader {
    private HeaderReader() {}

    static RequestHeaders read(HttpHeaders headers) {
        return RequestHeaders.of(
                headers.getHeaderString("X-Chat-Id"),
                headers.getHeaderString("Idempotency-Key"),
                headers.getHeaderString("X-Non-Idempotent"),
                headers.getHeaderString("X-Deadline-Millis"),
                headers.getHeaderString("X-Priority"));
    }
}
