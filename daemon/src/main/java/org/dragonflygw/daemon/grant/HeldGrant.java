package org.dragonflygw.daemon.grant;

import org.dragonflygw.core.fleet.Endpoint;
import org.dragonflygw.core.routing.SlotRequest;

/**
 * A grant that a request of this daemon holds.
 *
 * @param endpoint engine that the request runs on
 * @param serviceName service of the request
 * @param request slot request that the grant answered
 * @param epoch epoch of the steward that counts the grant
 * @param grantId id of the grant at that steward
 */
record HeldGrant(Endpoint endpoint, String serviceName, SlotRequest request, long epoch, long grantId) {
    /** Returns this grant as another steward, or another epoch, counts the grant. */
    HeldGrant withSteward(long newEpoch, long newGrantId) {
        return new HeldGrant(endpoint, serviceName, request, newEpoch, newGrantId);
    }
}
