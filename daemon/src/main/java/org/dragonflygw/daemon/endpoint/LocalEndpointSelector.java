package org.dragonflygw.daemon.endpoint;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.dragonflygw.core.fleet.Endpoint;
import org.dragonflygw.core.fleet.EndpointSource;
import org.dragonflygw.core.fleet.EndpointState;
import org.dragonflygw.core.request.RequestContext;
import org.dragonflygw.core.routing.EndpointGrant;
import org.dragonflygw.core.routing.EndpointSelector;
import org.dragonflygw.core.routing.GrantAge;
import org.dragonflygw.core.routing.RoutingCode;
import org.dragonflygw.core.routing.RoutingException;

/** Takes the live endpoint with the fewest requests of this daemon. One lock guards the counts. */
@Singleton
public final class LocalEndpointSelector implements EndpointSelector {
    private static final long RETRY_AFTER_MILLIS = 500;

    private final EndpointSource endpoints;
    private final Object lock = new Object();
    private final Map<String, Integer> inFlight = new HashMap<>();

    @Inject
    public LocalEndpointSelector(EndpointSource endpoints) {
        this.endpoints = endpoints;
    }

    @Override
    public EndpointGrant acquire(RequestContext request, Set<String> excludedEndpoints) {
        List<Endpoint> pool = endpoints.endpoints(request.service().pool());
        synchronized (lock) {
            Endpoint best = null;
            boolean live = false;
            for (Endpoint endpoint : pool) {
                if (endpoint.state() != EndpointState.LIVE || excludedEndpoints.contains(endpoint.id())) {
                    continue;
                }
                live = true;
                if (hasRoom(request, endpoint) && (best == null || load(endpoint) < load(best))) {
                    best = endpoint;
                }
            }
            if (best == null) {
                throw new RoutingException(
                        live ? RoutingCode.OVERLOADED : RoutingCode.NO_ENDPOINT,
                        "service " + request.service().name() + " has no free endpoint",
                        RETRY_AFTER_MILLIS);
            }
            inFlight.merge(best.id(), 1, Integer::sum);
            return grant(best);
        }
    }

    private boolean hasRoom(RequestContext request, Endpoint endpoint) {
        return load(endpoint) < request.service().maxInFlight() * endpoint.capacity();
    }

    private int load(Endpoint endpoint) {
        return inFlight.getOrDefault(endpoint.id(), 0);
    }

    private EndpointGrant grant(Endpoint endpoint) {
        return new ExpiringGrant(endpoint, new GrantAge(System.nanoTime(), 0), outcome -> release(endpoint));
    }

    private void release(Endpoint endpoint) {
        synchronized (lock) {
            inFlight.computeIfPresent(endpoint.id(), (id, count) -> count == 1 ? null : count - 1);
        }
    }
}
