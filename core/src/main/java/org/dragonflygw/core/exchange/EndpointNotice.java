package org.dragonflygw.core.exchange;

import org.dragonflygw.core.ratelimit.RateNotice;

/**
 * What an endpoint says about itself in a response.
 *
 * @param leaving whether the endpoint is shutting down and wants no new requests
 * @param quietMs time for which the endpoint wants no requests of this host, in milliseconds; 0 if it did not ask
 * @param rate requests that the endpoint takes from all hosts together
 * @param coldLeftMs time for which the endpoint is still cold, in milliseconds; 0 if it does not say so, negative if
 *     the value cannot be read
 * @param brittle rejections in a second for want of room that the endpoint bears; {@link #STURDY} if it names none
 */
public record EndpointNotice(boolean leaving, long quietMs, RateNotice rate, long coldLeftMs, int brittle) {
    /** Value of an endpoint that bears any number of rejections. */
    public static final int STURDY = -1;

    /** The notice of a response that says nothing. */
    public static final EndpointNotice NONE = new EndpointNotice(false, 0, RateNotice.UNLIMITED);

    /** Creates the notice of an endpoint that does not say whether it is cold. */
    public EndpointNotice(boolean leaving, long quietMs, RateNotice rate) {
        this(leaving, quietMs, rate, 0, STURDY);
    }

    /** Returns whether the endpoint says that it is brittle. */
    public boolean isBrittle() {
        return brittle != STURDY;
    }
}
