package org.dragonflygw.core.routing;

import java.time.Instant;

/**
 * Load of one endpoint as last stated by its steward.
 *
 * @param endpointId endpoint
 * @param epoch epoch of the steward; a statement of a higher epoch replaces one of a lower epoch
 * @param version version of the statement; increases within an epoch
 * @param inFlight requests on the endpoint
 * @param queued requests waiting for a slot
 * @param closed whether the endpoint takes no new work because it is leaving, suspended or being probed
 * @param waitMillis expected wait for a slot, in milliseconds
 * @param receivedAt time at which this daemon received the statement
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
    /** Whether this statement replaces another one about the same endpoint. */
    public boolean isNewerThan(EndpointLoad other) {
        return epoch != other.epoch ? epoch > other.epoch : version > other.version;
    }
}
