package org.dragonflygw.core.routing;

import java.util.Set;
import org.dragonflygw.core.request.RequestContext;

/** Finds an endpoint for a request and takes a slot on it. Safe from every thread. */
public interface EndpointSelector {
    /**
     * Takes a slot on the best endpoint; blocks while the request waits in a queue.
     *
     * @param request the request
     * @param excludedEndpoints ids of endpoints that must not be used, because earlier attempts failed there
     * @return the slot; the caller must end it
     * @throws RoutingException when no slot can be had; the request was then certainly not run
     */
    EndpointGrant acquire(RequestContext request, Set<String> excludedEndpoints);
}
