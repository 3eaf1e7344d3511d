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

/** Selects the live endpoint with the fewest open requests of this daemon. Thread-safe; one lock guards the counts. */
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
            Endpoint leastLoaded = null;
            boolean anyLive = false;
            for (Endpoint endpoint : pool) {
                if (endpoint.state() != EndpointState.LIVE || excludedEndpoints.contains(endpoint.id())) {
                    continue;
                }
                anyLive = true;
                if (hasFreeSlot(request, endpoint) && (leastLoaded == null || load(endpoint) < load(leastLoaded))) {
                    leastLoaded = endpoint;
                }
            }
            if (leastLoaded == null) {
                throw new RoutingException(
                        anyLive ? RoutingCode.OVERLOADED : RoutingCode.NO_ENDPOINT,
                        "service " + request.service().name() + " has no free endpoint",
                        RETRY_AFTER_MILLIS);
            }
            inFlight.merge(leastLoaded.id(), 1, Integer::sum);
            return grant(leastLoaded);
        }
    }

    private boolean hasFreeSlot(RequestContext request, Endpoint endpoint) {
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
