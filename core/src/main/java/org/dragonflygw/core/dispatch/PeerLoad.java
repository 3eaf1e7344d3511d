package org.dragonflygw.core.dispatch;

/**
 * The total load of all other hosts on one endpoint, as known from their reports.
 *
 * @param inFlight number of requests in flight
 * @param unreadTokens prompt tokens of these requests that the endpoint has not read (prefilled) yet
 * @param failureScore mean failure score over the hosts that reported recently
 * @param ageMs mean age of the reports that make up the sum, when the sum was made, in milliseconds
 */
public record PeerLoad(int inFlight, long unreadTokens, double failureScore, long ageMs) {
    /** Load of an endpoint that no other host uses. */
    public static final PeerLoad NONE = new PeerLoad(0, 0, 0);

    /** Creates a load from reports that were just made. */
    public PeerLoad(int inFlight, long unreadTokens, double failureScore) {
        this(inFlight, unreadTokens, failureScore, 0);
    }
}
