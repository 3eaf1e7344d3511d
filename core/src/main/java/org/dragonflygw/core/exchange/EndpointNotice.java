package org.dragonflygw.core.exchange;

/**
 * What an endpoint says about itself in a response.
 *
 * @param leaving whether the endpoint is shutting down and wants no new requests
 * @param quietMs time for which the endpoint wants no requests of this host, in milliseconds; 0 if it did not ask
 */
public record EndpointNotice(boolean leaving, long quietMs) {
    /** The notice of a response that says nothing. */
    public static final EndpointNotice NONE = new EndpointNotice(false, 0);
}
