package org.dragonflygw.core.dispatch;

/**
 * The total load of all other hosts on one endpoint, as known from their reports.
 *
 * @param inFlight number of requests in flight
 * @param unreadTokens prompt tokens of these requests that the endpoint has not read (prefilled) yet
 * @param failureScore mean failure score over the hosts that reported recently
 */
public record PeerLoad(int inFlight, long unreadTokens, double failureScore) {
    /** Load of an endpoint that no other host uses. */
    public static final PeerLoad NONE = new PeerLoad(0, 0, 0);
}
