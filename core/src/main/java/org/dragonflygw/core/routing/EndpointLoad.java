package org.dragonflygw.core.routing;

import java.time.Instant;

/**
 * Load of one endpoint as its steward last stated it.
 *
 * @param endpointId endpoint
 * @param epoch epoch of the steward; the higher one wins
 * @param version grows with each statement of the same epoch
 * @param inFlight requests on the endpoint
 * @param queued requests that wait for a slot
 * @param closed whether the endpoint takes no new work: it is leaving, suspended or probed
 * @param waitMillis expected wait for a slot, in milliseconds
 * @param receivedAt when this daemon learned it
 */
public record EndpointLoad(
        String endpointId,
        long epoch,
        long version,
        int inFlight,
        int queued,
        boolean closed,
        int waitMillis,
        Instant receivedAt) {
    /** Whether this statement is later than another one about the same endpoint. */
    public boolean isNewerThan(EndpointLoad other) {
        return epoch != other.epoch ? epoch > other.epoch : version > other.version;
    }
}
