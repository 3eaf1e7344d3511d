package org.dragonflygw.daemon.endpoint;

import java.util.List;

/**
 * A call to an endpoint.
 *
 * @param method HTTP method
 * @param path path with query
 * @param headers headers to send
 * @param contentType content type of the body; empty for none
 * @param body body; empty for none
 */
@SuppressWarnings("ArrayRecordComponent")
public record EndpointRequest(String method, String path, List<Header> headers, String contentType, byte[] body) {
    private static final byte[] NO_BODY = {};

    /** A call without a body. */
    public static EndpointRequest withoutBody(String method, String path, List<Header> headers) {
        return new EndpointRequest(method, path, headers, "", NO_BODY);
    }

    /**
     * A header.
     *
     * @param name name
     * @param value value
     */
    public record Header(String name, String value) {}
}
