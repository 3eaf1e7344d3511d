package org.dragonflygw.daemon.grant;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import java.time.Clock;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.dragonflygw.core.fleet.EndpointSource;
import org.dragonflygw.core.routing.EndpointLoad;
import org.dragonflygw.core.routing.EndpointLoadSink;

/** The states of the pools that services of the sheet use. Receives the loads that gossip delivers. Thread-safe. */
@Singleton
public final class PoolStates implements EndpointLoadSink {
    private final EndpointSource endpoints;
    private final Clock clock;
    private final Map<String, PoolState> states = new ConcurrentHashMap<>();

    @Inject
    public PoolStates(EndpointSource endpoints, Clock clock) {
        this.endpoints = endpoints;
        this.clock = clock;
    }

    /** Returns the state of a pool, updated to the current endpoints. */
    PoolState of(String pool) {
        PoolState state = states.computeIfAbsent(pool, name -> new PoolState(clock));
        state.setEndpoints(endpoints.endpoints(pool));
        return state;
    }

    /** Removes the states of all pools except the given ones. */
    void retain(java.util.Set<String> pools) {
        states.keySet().retainAll(pools);
    }

    @Override
    public void accept(EndpointLoad load) {
        states.values().forEach(state -> state.loads().accept(load));
    }
}
