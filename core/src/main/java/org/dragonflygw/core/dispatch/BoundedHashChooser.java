package org.dragonflygw.core.dispatch;

import java.util.List;

/**
 * Takes the first endpoint in a prompt's order by rendezvous hashing whose load is within a multiple of the mean; a
 * baseline. Requests without a shared prompt take the least loaded endpoint. Used by one thread.
 */
public final class BoundedHashChooser implements EndpointChooser {
    /** Load up to which an endpoint is taken, as a multiple of the mean. */
    private static final double LOAD_FACTOR = 1.25;

    private final UsableEndpoints usable;

    /** Makes a choice over the known endpoints. */
    public BoundedHashChooser(EndpointLoads loads) {
        usable = new UsableEndpoints(loads);
    }

    @Override
    public Choice choose(ChoiceRequest request, long nowNanos) {
        List<EndpointLoadState> endpoints = usable.notFull(request, nowNanos);
        if (endpoints.isEmpty()) {
            return Choice.none(UnavailableReason.BUSY, 0);
        }
        double bound =
                Math.ceil(LOAD_FACTOR * UsableEndpoints.meanLoad(endpoints, nowNanos) + LOAD_FACTOR / endpoints.size());
        RendezvousOrder order = new RendezvousOrder(endpoints, request.prompt().sharedKey());
        EndpointLoadState best = null;
        int bestRank = Integer.MAX_VALUE;
        for (int i = 0; i < endpoints.size(); i++) {
            EndpointLoadState e = endpoints.get(i);
            if (e.load(nowNanos) + 1 > bound) {
                continue;
            }
            boolean before =
                    order.rank(i) < bestRank || (order.rank(i) == bestRank && e.load(nowNanos) < best.load(nowNanos));
            if (before) {
                best = e;
                bestRank = order.rank(i);
            }
        }
        return UsableEndpoints.choiceOf(request, best);
    }
}
