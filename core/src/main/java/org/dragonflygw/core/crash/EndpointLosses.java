package org.dragonflygw.core.crash;

import java.util.List;

/**
 * Requests that a host had at an endpoint when the endpoint was lost.
 *
 * @param endpoint instance of the endpoint
 * @param fingerprints the requests
 * @param ageMs time since the loss, in milliseconds
 */
public record EndpointLosses(String endpoint, List<Long> fingerprints, long ageMs) {
    public EndpointLosses {
        fingerprints = List.copyOf(fingerprints);
    }
}
