package org.dragonflygw.daemon.grant;

import org.dragonflygw.core.fleet.Endpoint;
import org.dragonflygw.core.routing.SlotRequest;

/**
 * A grant that a request of this daemon holds.
 *
 * @param endpoint engine
 * @param serviceName service of the request
 * @param request the request for the slot
 * @param epoch epoch of the steward
 * @param grantId id of the grant
 */
record HeldGrant(Endpoint endpoint, String serviceName, SlotRequest request, long epoch, long grantId) {
    HeldGrant withSteward(long newEpoch, long newGrantId) {
        return new HeldGrant(endpoint, serviceName, request, newEpoch, newGrantId);
    }
}
