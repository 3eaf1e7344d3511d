package org.dragonflygw.daemon.grant;

import java.time.InstantSource;
import java.util.List;
import org.dragonflygw.core.fleet.Endpoint;
import org.dragonflygw.core.routing.CandidateKey;
import org.dragonflygw.core.routing.CandidateOrder;
import org.dragonflygw.core.routing.EndpointTable;
import org.dragonflygw.core.routing.HotPrefixTracker;
import org.dragonflygw.core.routing.LoadAwareOrder;
import org.dragonflygw.core.routing.PrefixAffinityOrder;
import org.dragonflygw.core.routing.ServiceLoads;

/**
 * This daemon's state of one pool: the endpoints prepared for ranking, their reported loads, and the candidate order.
 * Thread-safe; the monitor guards changes of the endpoints and is taken before the monitor of the loads.
 */
final class PoolState {
    private static final int TRACKED_PREFIXES = 256;
    private static final int PREFIX_WINDOW_REQUESTS = 4_096;
    private static final double SET_SHARE = 0.5;
    private static final int KEPT_CANDIDATES = 3;

    private final ServiceLoads loads;
    private final CandidateOrder order;
    private volatile EndpointSnapshot endpoints = new EndpointSnapshot(List.of(), EndpointTable.of(List.of()));

    PoolState(InstantSource clock) {
        this.loads = new ServiceLoads(clock);
        CandidateOrder affinity =
                new PrefixAffinityOrder(new HotPrefixTracker(TRACKED_PREFIXES, PREFIX_WINDOW_REQUESTS), SET_SHARE);
        this.order = new LoadAwareOrder(affinity, loads, KEPT_CANDIDATES);
    }

    /** Replaces the endpoints of the pool; does nothing when given the same list object as before. */
    void setEndpoints(List<Endpoint> list) {
        if (endpoints.list() == list) {
            return;
        }
        synchronized (this) {
            if (!endpoints.list().equals(list)) {
                loads.setEndpoints(list);
            }
            endpoints = new EndpointSnapshot(list, EndpointTable.of(list));
        }
    }

    ServiceLoads loads() {
        return loads;
    }

    EndpointTable table() {
        return endpoints.table();
    }

    List<Endpoint> endpointList() {
        return endpoints.list();
    }

    int[] rank(CandidateKey key, EndpointTable table, int limit) {
        return order.rank(key, table, limit);
    }

    /** Describes the candidates in order, each with its reported load, for the timeline. */
    String describe(int[] candidates, EndpointTable table) {
        StringBuilder text = new StringBuilder();
        for (int index : candidates) {
            String id = table.endpoint(index).id();
            text.append(text.length() == 0 ? "" : ", ").append(id);
            loads.find(id)
                    .ifPresent(load -> text.append(' ')
                            .append(load.inFlight())
                            .append(" in flight ")
                            .append(load.waitMillis())
                            .append(" ms"));
        }
        return text.append(" of ").append(table.size()).toString();
    }

    private record EndpointSnapshot(List<Endpoint> list, EndpointTable table) {}
}
