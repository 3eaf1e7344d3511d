package org.dragonflygw.core.exchange;

import org.dragonflygw.core.ratelimit.RateNotice;

/**
 * What an endpoint says about itself in a response.
 *
 * @param leaving whether the endpoint is shutting down and wants no new requests
 * @param quietMs time for which the endpoint wants no requests of this host, in milliseconds; 0 if it did not ask
 * @param rate requests that the endpoint takes from all hosts together
 */
public record EndpointNotice(boolean leaving, long quietMs, RateNotice rate) {
    /** The notice of a response that says nothing. */
    public static final EndpointNotice NONE = new EndpointNotice(false, 0, RateNotice.UNLIMITED);
}
