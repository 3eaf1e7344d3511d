package org.dragonflygw.daemon.grant;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import java.time.Clock;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.dragonflygw.core.fleet.EndpointSource;
import org.dragonflygw.core.routing.EndpointLoad;
import org.dragonflygw.core.routing.EndpointLoadSink;

/** The boards of all pools that services of the sheet use. Takes the loads that gossip brings. Safe from every thread. */
@Singleton
public final class PoolStates implements EndpointLoadSink {
    private final EndpointSource endpoints;
    private final Clock clock;
    private final Map<String, PoolState> boards = new ConcurrentHashMap<>();

    @Inject
    public PoolStates(EndpointSource endpoints, Clock clock) {
        this.endpoints = endpoints;
        this.clock = clock;
    }

    /** The board of a pool with the endpoints of now. */
    PoolState of(String pool) {
        PoolState board = boards.computeIfAbsent(pool, name -> new PoolState(clock));
        board.setEndpoints(endpoints.endpoints(pool));
        return board;
    }

    /** Forgets the pools that are not used any more. */
    void retain(java.util.Set<String> pools) {
        boards.keySet().retainAll(pools);
    }

    @Override
    public void accept(EndpointLoad load) {
        boards.values().forEach(board -> board.loads().accept(load));
    }
}
