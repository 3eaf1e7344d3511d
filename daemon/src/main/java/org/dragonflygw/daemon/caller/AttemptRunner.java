package org.dragonflygw.daemon.caller;

import org.dragonflygw.core.request.RequestContext;
import org.dragonflygw.core.routing.EndpointGrant;

/** Makes one attempt to run a request on the endpoint of a grant. */
interface AttemptRunner {
    /**
     * Dispatches the request and waits until its response begins.
     *
     * @param request the request
     * @param grant slot at the endpoint; a returned response ends it
     * @param claim claim of the request; receives the outcome
     * @throws AttemptException when the endpoint gave no response; the caller of this method still holds the slot
     */
    CallerResponse run(RequestContext request, EndpointGrant grant, OptionalClaim claim);
}
