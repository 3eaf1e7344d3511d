package org.dragonflygw.bench.fuzz;

import org.dragonflygw.core.routing.AttemptOutcome;
import org.dragonflygw.core.routing.EngineSteward;
import org.dragonflygw.core.routing.GrantAge;
import org.dragonflygw.core.routing.SlotDecision;

/**
 * A granted slot on an endpoint.
 *
 * @param endpoint endpoint of the slot
 * @param steward steward that granted the slot
 * @param grant decision of the steward, with the id and epoch of the grant
 * @param age age of the grant, which bounds the time in which the request may be dispatched
 */
record FuzzSlot(FuzzEndpoint endpoint, EngineSteward steward, SlotDecision grant, GrantAge age) {
    void end(AttemptOutcome outcome) {
        var unused = steward.end(grant.grantId(), grant.epoch(), outcome);
    }
}
