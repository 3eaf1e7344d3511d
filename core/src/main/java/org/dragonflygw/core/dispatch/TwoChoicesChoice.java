package org.dragonflygw.core.dispatch;

import java.util.List;
import java.util.random.RandomGenerator;

/** Takes the less loaded of two random endpoints; a baseline. Used by one thread. */
public final class TwoChoicesChoice implements EndpointChoice {
    private final UsableEndpoints usable;
    private final RandomGenerator random;

    /** Makes a choice over the known endpoints. */
    public TwoChoicesChoice(EndpointLoads loads, RandomGenerator random) {
        this.usable = new UsableEndpoints(loads);
        this.random = random;
    }

    @Override
    public Choice choose(ChoiceRequest request, long nowNanos) {
        List<EndpointLoadState> endpoints = usable.withRoom(request, nowNanos);
        if (endpoints.isEmpty()) {
            return Choice.none(Unserved.BUSY, 0);
        }
        EndpointLoadState a = endpoints.get(random.nextInt(endpoints.size()));
        EndpointLoadState b = endpoints.get(random.nextInt(endpoints.size()));
        return UsableEndpoints.chosen(request, a.load(nowNanos) <= b.load(nowNanos) ? a : b);
    }
}
