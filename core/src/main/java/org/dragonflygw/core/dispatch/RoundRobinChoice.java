package org.dragonflygw.core.dispatch;

import java.util.List;

/** Takes the endpoints one after the other; a baseline. Used by one thread. */
public final class RoundRobinChoice implements EndpointChoice {
    private final UsableEndpoints usable;
    private int next;

    /** Makes a choice over the known endpoints. */
    public RoundRobinChoice(EndpointLoads loads) {
        usable = new UsableEndpoints(loads);
    }

    @Override
    public Choice choose(ChoiceRequest request, long nowNanos) {
        List<EndpointLoadState> endpoints = usable.withRoom(request, nowNanos);
        if (endpoints.isEmpty()) {
            return Choice.none(Unserved.BUSY, 0);
        }
        return UsableEndpoints.chosen(request, endpoints.get(Math.floorMod(next++, endpoints.size())));
    }
}
