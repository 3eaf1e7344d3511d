package org.dragonflygw.core.peers;

/**
 * The load that one or more hosts put on one endpoint.
 *
 * @param endpoint short hash of the endpoint's id
 * @param inFlight number of requests in flight
 * @param unreadTokens prompt tokens of these requests that the endpoint has not read (prefilled) yet
 * @param failureScore sum of the failure scores that the hosts give the endpoint
 */
public record EndpointSum(int endpoint, int inFlight, long unreadTokens, double failureScore) {
    /** Returns the sum of this load and another one on the same endpoint. */
    EndpointSum plus(EndpointSum other) {
        return new EndpointSum(
                endpoint,
                inFlight + other.inFlight,
                unreadTokens + other.unreadTokens,
                failureScore + other.failureScore);
    }

    /** Returns this load without a part of it. */
    EndpointSum minus(EndpointSum part) {
        return new EndpointSum(
                endpoint,
                Math.max(0, inFlight - part.inFlight),
                Math.max(0, unreadTokens - part.unreadTokens),
                Math.max(0, failureScore - part.failureScore));
    }
}
