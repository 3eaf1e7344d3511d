package org.dragonflygw.daemon.endpoint;

import java.util.List;

/**
 * A request to an endpoint.
 *
 * @param method HTTP method
 * @param path path with query
 * @param headers headers to send
 * @param contentType content type of the body; empty when there is none
 * @param body body; empty when there is none
 */
@SuppressWarnings("ArrayRecordComponent")
public record EndpointRequest(String method, String path, List<Header> headers, String contentType, byte[] body) {
    private static final byte[] NO_BODY = {};

    /** Creates a request without a body. */
    public static EndpointRequest withoutBody(String method, String path, List<Header> headers) {
        return new EndpointRequest(method, path, headers, "", NO_BODY);
    }

    /**
     * A header field.
     *
     * @param name name of the header
     * @param value value of the header
     */
    public record Header(String name, String value) {}
}
