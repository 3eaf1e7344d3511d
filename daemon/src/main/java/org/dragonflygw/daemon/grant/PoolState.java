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
 * What this daemon knows of one pool: its endpoints prepared for ranking, their stated loads, and the candidate order.
 * Safe from every thread; the monitor guards the change of the endpoints and is taken before that of the loads.
 */
final class PoolState {
    private static final int TRACKED_PREFIXES = 256;
    private static final int WINDOW_REQUESTS = 4_096;
    private static final double SET_SHARE = 0.5;
    private static final int KEPT_CANDIDATES = 3;

    private final ServiceLoads loads;
    private final CandidateOrder order;
    private volatile EndpointSnapshot endpoints = new EndpointSnapshot(List.of(), EndpointTable.of(List.of()));

    PoolState(InstantSource clock) {
        this.loads = new ServiceLoads(clock);
        CandidateOrder affinity =
                new PrefixAffinityOrder(new HotPrefixTracker(TRACKED_PREFIXES, WINDOW_REQUESTS), SET_SHARE);
        this.order = new LoadAwareOrder(affinity, loads, KEPT_CANDIDATES);
    }

    /** Takes the endpoints of the pool; does nothing when they are the known ones. */
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

    /** The candidates in order, each with its stated load, for the time line. */
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
