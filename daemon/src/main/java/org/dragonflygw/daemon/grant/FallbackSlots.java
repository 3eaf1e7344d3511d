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
 * Slots for the time in which no steward answers: of the capacity that was last stated free, this daemon uses an equal
 * part, and at least one slot on each engine. One lock guards the counts.
 */
@Singleton
public final class FallbackSlots {
    private final PoolStates boards;
    private final OwnershipView view;
    private final Object lock = new Object();
    private final Map<String, Integer> taken = new HashMap<>();

    @Inject
    public FallbackSlots(PoolStates boards, OwnershipView view) {
        this.boards = boards;
        this.view = view;
    }

    /** Takes a slot on the first candidate that has one for this daemon. */
    Optional<Endpoint> take(Service service, int[] candidates, Set<String> excluded) {
        PoolState board = boards.of(service.pool());
        for (int candidate : candidates) {
            Endpoint endpoint = board.table().endpoint(candidate);
            boolean usable = endpoint.state() == EndpointState.LIVE && !excluded.contains(endpoint.id());
            if (usable && tryTake(endpoint, share(service, board, endpoint))) {
                return Optional.of(endpoint);
            }
        }
        return Optional.empty();
    }

    /** Gives a slot back. */
    void release(Endpoint endpoint) {
        synchronized (lock) {
            taken.computeIfPresent(endpoint.id(), (id, count) -> count == 1 ? null : count - 1);
        }
    }

    private int share(Service service, PoolState board, Endpoint endpoint) {
        Optional<EndpointLoad> stated = board.loads().find(endpoint.id());
        if (stated.filter(EndpointLoad::closed).isPresent()) {
            return 0;
        }
        int capacity = Math.max(1, endpoint.capacity());
        double mean = board.loads().statedLoad() / Math.max(1, board.loads().totalCapacity());
        double bound = Math.min(service.maxInFlight() * capacity, service.loadBound() * mean * capacity + 1);
        double free = bound - stated.map(EndpointLoad::inFlight).orElse(0);
        return Math.max(1, (int) (free / view.daemonCount()));
    }

    private boolean tryTake(Endpoint endpoint, int share) {
        synchronized (lock) {
            int count = taken.getOrDefault(endpoint.id(), 0);
            if (count >= share) {
                return false;
            }
            taken.put(endpoint.id(), count + 1);
            return true;
        }
    }
}
