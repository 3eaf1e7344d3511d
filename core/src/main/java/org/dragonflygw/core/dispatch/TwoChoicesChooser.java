package org.dragonflygw.core.dispatch;

import java.util.List;
import java.util.random.RandomGenerator;

/** Baseline that chooses the less loaded of two random endpoints. Not thread-safe. */
public final class TwoChoicesChooser implements EndpointChooser {
    private final UsableEndpoints usable;
    private final RandomGenerator random;

    public TwoChoicesChooser(EndpointLoads loads, RandomGenerator random) {
        this.usable = new UsableEndpoints(loads);
        this.random = random;
    }

    @Override
    public Choice choose(ChoiceRequest request, long nowNanos) {
        List<EndpointLoadState> endpoints = usable.notFull(request, nowNanos);
        if (endpoints.isEmpty()) {
            return Choice.none(UnavailableReason.BUSY, 0);
        }
        EndpointLoadState a = endpoints.get(random.nextInt(endpoints.size()));
        EndpointLoadState b = endpoints.get(random.nextInt(endpoints.size()));
        return UsableEndpoints.choiceOf(request, a.load(nowNanos) <= b.load(nowNanos) ? a : b);
    }
}
