package org.dragonflygw.core.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** The endpoints that may take a request: those of its service that are not leaving, have not failed it and have room. */
final class UsableEndpoints {
    /** Requests a plain endpoint takes beyond its slots, as a multiple of the slots. */
    private static final double PLAIN_QUEUE = 1.5;

    private final EndpointLoads loads;

    UsableEndpoints(EndpointLoads loads) {
        this.loads = loads;
    }

    /** All that take new work, full ones included. */
    List<EndpointLoadState> all(ChoiceRequest request) {
        List<EndpointLoadState> usable = new ArrayList<>();
        for (EndpointLoadState e : loads.ofService(request.service().name())) {
            if (!e.entry().draining() && !request.excluded().contains(e.entry().id())) {
                usable.add(e);
            }
        }
        return usable;
    }

    /** Those that have room. */
    List<EndpointLoadState> notFull(ChoiceRequest request, long nowNanos) {
        return all(request).stream().filter(e -> !isFull(request, e, nowNanos)).toList();
    }

    /** Whether all places of an endpoint are taken. */
    static boolean isFull(ChoiceRequest request, EndpointLoadState e, long nowNanos) {
        int slots = e.entry().slots();
        if (slots <= 0) {
            return false;
        }
        double places = request.service().hasModelEngines() ? slots : slots * (1 + PLAIN_QUEUE);
        return e.load(nowNanos) >= places;
    }

    /** Mean load of endpoints. */
    static double meanLoad(List<EndpointLoadState> endpoints, long nowNanos) {
        return endpoints.stream().mapToDouble(e -> e.load(nowNanos)).average().orElse(0);
    }

    /** The choice of an endpoint without an expectation of its time. */
    static Choice choiceOf(ChoiceRequest request, EndpointLoadState e) {
        Prompt prompt = request.prompt();
        int uncached = Math.max(0, prompt.inputTokens() - e.cached().cachedTokens(prompt));
        return new Choice(Optional.of(e), 0, uncached, Optional.empty(), UnavailableReason.NONE);
    }
}
