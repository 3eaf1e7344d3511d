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
public final class PoolBoards implements EndpointLoadSink {
    private final EndpointSource endpoints;
    private final Clock clock;
    private final Map<String, PoolBoard> boards = new ConcurrentHashMap<>();

    @Inject
    public PoolBoards(EndpointSource endpoints, Clock clock) {
        this.endpoints = endpoints;
        this.clock = clock;
    }

    /** The board of a pool with the endpoints of now. */
    PoolBoard of(String pool) {
        PoolBoard board = boards.computeIfAbsent(pool, name -> new PoolBoard(clock));
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
