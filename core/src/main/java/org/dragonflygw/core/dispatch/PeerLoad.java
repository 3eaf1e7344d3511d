package org.dragonflygw.core.dispatch;

/**
 * What all other hosts together have at one endpoint, as far as is known.
 *
 * @param inFlight requests under way
 * @param unreadTokens prompt tokens that the endpoint has still to read for them
 * @param failureScore mean failure score over the hosts that were heard of lately
 */
public record PeerLoad(int inFlight, long unreadTokens, double failureScore) {
    /** Of an endpoint that no other host uses. */
    public static final PeerLoad NONE = new PeerLoad(0, 0, 0);
}
