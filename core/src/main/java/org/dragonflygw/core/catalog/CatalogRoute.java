package org.dragonflygw.core.catalog;

import java.util.List;

/**
 * One route of the configuration: which requests match it and how they are served.
 *
 * @param name name of the route
 * @param host value of the request's host header
 * @param pathPrefix prefix of the request path; begins and ends with a slash
 * @param kind whether requests may be sent more than once
 * @param timeoutMs longest time that a caller waits, in milliseconds
 * @param objectiveMs target time for the response, or for the first event of a stream, in milliseconds
 * @param priority priority of the requests; 0 is the highest
 * @param services services that receive the requests, with weights
 * @param maxAttempts largest number of endpoints that one request is sent to
 * @param anonymous whether requests need no API key
 * @param promptAffinity whether requests describe their prompts, so that cached prefixes can be used
 * @param resumable whether a broken stream may be resumed at another endpoint
 * @param maxEventGapMs target for the longest gap between events of a stream, in milliseconds; 0 if not streaming
 */
public record CatalogRoute(
        String name,
        String host,
        String pathPrefix,
        RouteKind kind,
        long timeoutMs,
        long objectiveMs,
        int priority,
        List<WeightedService> services,
        int maxAttempts,
        boolean anonymous,
        boolean promptAffinity,
        boolean resumable,
        long maxEventGapMs) {
    public CatalogRoute {
        services = List.copyOf(services);
    }

    /** Returns whether a request may be sent again although an earlier attempt may have run. */
    public boolean repeatable() {
        return kind == RouteKind.IDEMPOTENT || (kind == RouteKind.STREAMING && resumable);
    }

    /** Returns whether responses are event streams. */
    public boolean streaming() {
        return kind == RouteKind.STREAMING;
    }

    /**
     * Returns the name of the service for one request, chosen by weight.
     *
     * @param draw random number, uniformly distributed over requests
     */
    public String serviceFor(long draw) {
        int total = 0;
        for (WeightedService s : services) {
            total += s.weight();
        }
        if (total == 0) {
            return services.get(0).service();
        }
        long remaining = Math.floorMod(draw, total);
        for (WeightedService s : services) {
            remaining -= s.weight();
            if (remaining < 0) {
                return s.service();
            }
        }
        return services.get(0).service();
    }
}
