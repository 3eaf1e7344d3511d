package org.dragonflygw.core.dispatch;

import java.util.List;

/** Baseline that chooses each endpoint in turn. Not thread-safe. */
public final class RoundRobinChooser implements EndpointChooser {
    private final UsableEndpoints usable;
    private int next;

    public RoundRobinChooser(EndpointLoads loads) {
        usable = new UsableEndpoints(loads);
    }

    @Override
    public Choice choose(ChoiceRequest request, long nowNanos) {
        List<EndpointLoadState> endpoints = usable.notFull(request, nowNanos);
        if (endpoints.isEmpty()) {
            return Choice.none(UnavailableReason.BUSY, 0);
        }
        return UsableEndpoints.choiceOf(request, endpoints.get(Math.floorMod(next++, endpoints.size())));
    }
}
