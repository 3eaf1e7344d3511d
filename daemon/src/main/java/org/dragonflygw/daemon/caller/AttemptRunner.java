package org.dragonflygw.daemon.caller;

import org.dragonflygw.core.request.RequestContext;
import org.dragonflygw.core.routing.EndpointGrant;

/** Runs a request once on the endpoint of a grant. */
interface AttemptRunner {
    /**
     * Dispatches the request and waits for the start of its answer.
     *
     * @param request the request
     * @param grant the slot; the answer ends it
     * @param claim to be told the outcome
     * @throws AttemptException when this endpoint gave no answer; the slot is then still held
     */
    CallerResponse run(RequestContext request, EndpointGrant grant, OptionalClaim claim);
}
