package org.dragonflygw.daemon.caller;

import jakarta.servlet.http.HttpServletRequest;

/**
 * A call to a plain service as it is forwarded.
 *
 * @param method HTTP method
 * @param path path within the service, with query
 * @param contentType content type of the body; empty when there is none
 * @param accept accepted content types of the response; empty for any
 * @param body request body; empty when there is none
 */
@SuppressWarnings("ArrayRecordComponent")
record PlainCall(String method, String path, String contentType, String accept, byte[] body) {
    private static final String PREFIX = "/services/";

    /** Reads a call from a servlet request; path and query stay encoded as the caller sent them. */
    static PlainCall of(HttpServletRequest request, byte[] body) {
        String uri = request.getRequestURI();
        int afterName = uri.indexOf('/', PREFIX.length());
        String path = afterName < 0 ? "/" : uri.substring(afterName);
        String query = request.getQueryString();
        String target = query == null ? path : path + '?' + query;
        return new PlainCall(
                request.getMethod(),
                target,
                orEmpty(request.getContentType()),
                orEmpty(request.getHeader("Accept")),
                body);
    }

    /** Whether HTTP defines the method as idempotent. */
    boolean isIdempotent() {
        return switch (method) {
            case "GET", "HEAD", "PUT", "DELETE" -> true;
            default -> false;
        };
    }

    private static String orEmpty(String value) {
        return value == null ? "" : value;
    }
}
