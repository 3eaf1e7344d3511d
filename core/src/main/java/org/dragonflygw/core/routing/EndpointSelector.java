package org.dragonflygw.core.routing;

import java.util.Set;
import org.dragonflygw.core.request.RequestContext;

/** Finds an endpoint for a request and acquires a slot on it. Implementations are thread safe. */
public interface EndpointSelector {
    /**
     * Acquires a slot on the best endpoint; blocks while the request waits in a queue.
     *
     * @param request the request
     * @param excludedEndpoints ids of endpoints to skip because earlier attempts failed there
     * @return the grant of the slot; the caller must end it
     * @throws RoutingException if no slot is available; the request was then certainly not run
     */
    EndpointGrant acquire(RequestContext request, Set<String> excludedEndpoints);
}
