package org.dragonflygw.core.dispatch;

import java.util.List;

/**
 * Baseline that implements consistent hashing with bounded loads. Chooses the first endpoint in the rendezvous order of
 * the prompt prefix whose load is within a multiple of the mean. A request without a shared prefix goes to the least
 * loaded endpoint. Not thread-safe.
 */
public final class BoundedHashChooser implements EndpointChooser {
    /** Upper bound on the load of an endpoint, as a multiple of the mean. */
    private static final double MAX_LOAD_FACTOR = 1.25;

    private final UsableEndpoints usable;

    public BoundedHashChooser(EndpointLoads loads) {
        usable = new UsableEndpoints(loads);
    }

    @Override
    public Choice choose(ChoiceRequest request, long nowNanos) {
        List<EndpointLoadState> endpoints = usable.notFull(request, nowNanos);
        if (endpoints.isEmpty()) {
            return Choice.none(UnavailableReason.BUSY, 0);
        }
        double bound = Math.ceil(
                MAX_LOAD_FACTOR * UsableEndpoints.meanLoad(endpoints, nowNanos) + MAX_LOAD_FACTOR / endpoints.size());
        RendezvousOrder order = new RendezvousOrder(endpoints, request.prompt().sharedKey());
        EndpointLoadState best = null;
        int bestRank = Integer.MAX_VALUE;
        for (int i = 0; i < endpoints.size(); i++) {
            EndpointLoadState e = endpoints.get(i);
            if (e.load(nowNanos) + 1 > bound) {
                continue;
            }
            boolean better =
                    order.rank(i) < bestRank || (order.rank(i) == bestRank && e.load(nowNanos) < best.load(nowNanos));
            if (better) {
                best = e;
                bestRank = order.rank(i);
            }
        }
        return UsableEndpoints.choiceOf(request, best);
    }
}
