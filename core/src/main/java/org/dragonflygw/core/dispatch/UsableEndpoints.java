package org.dragonflygw.core.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.dragonflygw.core.catalog.CatalogService;
import org.dragonflygw.core.resume.StreamOrigin;

/**
 * Finds the endpoints that can serve a request: not leaving, not in an evacuated availability zone, not excluded, not
 * asking for quiet, not known to have used up a limit and, where asked, not at capacity.
 */
final class UsableEndpoints {
    /** Number of requests that may queue at a plain endpoint, as a multiple of its slots. */
    private static final double PLAIN_QUEUE_PER_SLOT = 1.5;

    private final EndpointLoads loads;

    UsableEndpoints(EndpointLoads loads) {
        this.loads = loads;
    }

    /** Returns the endpoints that accept new requests, including those at capacity. */
    List<EndpointLoadState> all(ChoiceRequest request, long nowNanos) {
        List<EndpointLoadState> usable = new ArrayList<>();
        loads.onMemoryConfigured(request.service().name(), request.service().cacheTokens());
        for (EndpointLoadState e : loads.ofService(request.service().name())) {
            if (acceptsRequests(request, e, nowNanos)
                    && e.quietNanos(nowNanos) == 0
                    && mayHavePermit(request, e, nowNanos)) {
                usable.add(e);
            }
        }
        return usable;
    }

    private boolean acceptsRequests(ChoiceRequest request, EndpointLoadState e, long nowNanos) {
        return !loads.isEvacuated(e) && wouldAccept(request, e, nowNanos);
    }

    /** Returns whether an endpoint accepts new requests unless its availability zone is evacuated. */
    private static boolean wouldAccept(ChoiceRequest request, EndpointLoadState e, long nowNanos) {
        return !e.entry().draining()
                && !e.isLeaving()
                && !request.excluded().contains(e.entry().id())
                && request.origin().map(o -> isOf(o, e, nowNanos)).orElse(true);
    }

    /** Returns whether an endpoint may go on with a stream; an unknown or doubtful version never may. */
    private static boolean isOf(StreamOrigin origin, EndpointLoadState e, long nowNanos) {
        return !e.mayHaveRestarted(nowNanos)
                && !origin.version().isEmpty()
                && origin.version().equals(e.entry().version())
                && origin.service().equals(e.entry().service());
    }

    private static boolean mayHavePermit(ChoiceRequest request, EndpointLoadState e, long nowNanos) {
        return !e.rate().isLimited() || (request.limitedEndpoints() && e.rate().permitWaitNanos(nowNanos) == 0);
    }

    /** Returns the shortest time until an endpoint that is not usable now may take requests; nothing if there is none. */
    OptionalLong shortestWaitNanos(ChoiceRequest request, long nowNanos) {
        return loads.ofService(request.service().name()).stream()
                .filter(e -> acceptsRequests(request, e, nowNanos))
                .mapToLong(e -> Math.max(e.quietNanos(nowNanos), e.rate().permitWaitNanos(nowNanos)))
                .min();
    }

    /** Returns whether an endpoint would accept new requests if its availability zone were not evacuated. */
    boolean anyEvacuated(ChoiceRequest request, long nowNanos) {
        return loads.ofService(request.service().name()).stream()
                .anyMatch(e -> loads.isEvacuated(e) && wouldAccept(request, e, nowNanos));
    }

    /** Returns whether an endpoint that accepts new requests names a limit. */
    boolean anyLimited(ChoiceRequest request, long nowNanos) {
        return loads.ofService(request.service().name()).stream()
                .anyMatch(e -> acceptsRequests(request, e, nowNanos) && e.rate().isLimited());
    }

    /** Returns the endpoints that accept new requests and are not at capacity. */
    List<EndpointLoadState> notFull(ChoiceRequest request, long nowNanos) {
        return all(request, nowNanos).stream()
                .filter(e -> !isFull(request, e, nowNanos))
                .toList();
    }

    /** Returns whether an endpoint is or may be at capacity, or its memory is full; where the number of slots is unknown, only after a quiet time. */
    static boolean isFull(ChoiceRequest request, EndpointLoadState e, long nowNanos) {
        if (e.isRampFull(nowNanos)) {
            return true;
        }
        if (request.service().hasModelEngines() && !e.hasMemoryFor(request.prompt(), nowNanos)) {
            return true;
        }
        Brittleness brittleness = e.traffic().brittleness();
        if (brittleness.isBrittle(nowNanos) && brittleness.freePlaces(e, nowNanos) < 1) {
            return true;
        }
        double capacity = capacity(request.service(), e);
        return capacity > 0 && e.load(nowNanos) >= capacity;
    }

    /** Returns the number of requests that an endpoint takes, with those that queue; 0 if unknown. */
    static double capacity(CatalogService service, EndpointLoadState e) {
        int slots = Math.max(0, e.entry().slots());
        return service.hasModelEngines() ? slots : slots * (1 + PLAIN_QUEUE_PER_SLOT);
    }

    /** Returns the mean load of the endpoints, or 0 if there are none. */
    static double meanLoad(List<EndpointLoadState> endpoints, long nowNanos) {
        return endpoints.stream().mapToDouble(e -> e.load(nowNanos)).average().orElse(0);
    }

    /** Returns a choice of an endpoint without an expected time. */
    static Choice choiceOf(ChoiceRequest request, EndpointLoadState e) {
        Prompt prompt = request.prompt();
        int uncached = Math.max(0, prompt.inputTokens() - e.cached().cachedTokens(prompt));
        return new Choice(
                Optional.of(e), 0, uncached, Optional.empty(), 0, Preference.PREFERRED, UnavailableReason.NONE);
    }
}
