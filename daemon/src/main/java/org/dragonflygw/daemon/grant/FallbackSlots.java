package org.dragonflygw.daemon.grant;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.dragonflygw.core.config.Service;
import org.dragonflygw.core.fleet.Endpoint;
import org.dragonflygw.core.fleet.EndpointState;
import org.dragonflygw.core.routing.EndpointLoad;

/**
 * Slots that this daemon uses without a grant while no steward answers: an equal share, among the daemons of the region,
 * of the capacity that was last reported free, and at least one slot on each engine. Thread-safe: one lock guards the
 * counts.
 */
@Singleton
public final class FallbackSlots {
    private final PoolStates pools;
    private final OwnershipView view;
    private final Object lock = new Object();
    private final Map<String, Integer> takenSlots = new HashMap<>();

    @Inject
    public FallbackSlots(PoolStates pools, OwnershipView view) {
        this.pools = pools;
        this.view = view;
    }

    /** Takes a slot on the first candidate with a free slot in this daemon's share; empty when there is none. */
    Optional<Endpoint> take(Service service, int[] candidates, Set<String> excluded) {
        PoolState pool = pools.of(service.pool());
        for (int candidate : candidates) {
            Endpoint endpoint = pool.table().endpoint(candidate);
            boolean usable = endpoint.state() == EndpointState.LIVE && !excluded.contains(endpoint.id());
            if (usable && tryTake(endpoint, share(service, pool, endpoint))) {
                return Optional.of(endpoint);
            }
        }
        return Optional.empty();
    }

    /** Releases a slot. */
    void release(Endpoint endpoint) {
        synchronized (lock) {
            takenSlots.computeIfPresent(endpoint.id(), (id, count) -> count == 1 ? null : count - 1);
        }
    }

    private int share(Service service, PoolState pool, Endpoint endpoint) {
        Optional<EndpointLoad> reported = pool.loads().find(endpoint.id());
        if (reported.filter(EndpointLoad::closed).isPresent()) {
            return 0;
        }
        int capacity = Math.max(1, endpoint.capacity());
        double mean = pool.loads().statedLoad() / Math.max(1, pool.loads().totalCapacity());
        double bound = Math.min(service.maxInFlight() * capacity, service.loadBound() * mean * capacity + 1);
        double free = bound - reported.map(EndpointLoad::inFlight).orElse(0);
        return Math.max(1, (int) (free / view.daemonCount()));
    }

    private boolean tryTake(Endpoint endpoint, int share) {
        synchronized (lock) {
            int count = takenSlots.getOrDefault(endpoint.id(), 0);
            if (count >= share) {
                return false;
            }
            takenSlots.put(endpoint.id(), count + 1);
            return true;
        }
    }
}
