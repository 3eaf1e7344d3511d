package org.dragonflygw.bench.fuzz;

import org.dragonflygw.core.routing.AttemptOutcome;
import org.dragonflygw.core.routing.EngineSteward;
import org.dragonflygw.core.routing.GrantAge;
import org.dragonflygw.core.routing.SlotDecision;

/**
 * A slot held on an endpoint.
 *
 * @param endpoint the endpoint
 * @param steward steward that gave the slot
 * @param grant its decision
 * @param age age of the grant
 */
record FuzzSlot(FuzzEndpoint endpoint, EngineSteward steward, SlotDecision grant, GrantAge age) {
    void end(AttemptOutcome outcome) {
        var unused = steward.end(grant.grantId(), grant.epoch(), outcome);
    }
}
