package org.dragonflygw.core.catalog;

import java.util.List;

/**
 * One route of the configuration: which requests it takes and how they are served.
 *
 * @param name name of the route
 * @param host value of the request's host header
 * @param pathPrefix begins and ends with a slash
 * @param kind what may be repeated
 * @param timeoutMs longest time that a caller is kept waiting, in milliseconds
 * @param objectiveMs time within which an answer (of a stream, its first event) is on time, in milliseconds
 * @param priority rank, 0 is the most urgent
 * @param services where its requests go, with weights
 * @param maxAttempts most endpoints that may be given one request
 * @param anonymous whether requests need no key
 * @param promptAffinity whether requests describe their prompts so that cached prefixes can be used
 * @param resumable whether a broken stream may go on at another endpoint
 * @param maxEventGapMs longest pause between events of a stream that is on time, in milliseconds; 0 for no streams
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

    /** Whether a request may be sent again after an attempt that may have run. */
    public boolean repeatable() {
        return kind == RouteKind.IDEMPOTENT || (kind == RouteKind.STREAMING && resumable);
    }

    /** Whether answers are streams of events. */
    public boolean streaming() {
        return kind == RouteKind.STREAMING;
    }

    /**
     * Name of the service for one request.
     *
     * @param draw a number that is evenly spread over requests
     */
    public String serviceFor(long draw) {
        int total = 0;
        for (WeightedService s : services) {
            total += s.weight();
        }
        if (total == 0) {
            return services.get(0).service();
        }
        long left = Math.floorMod(draw, total);
        for (WeightedService s : services) {
            left -= s.weight();
            if (left < 0) {
                return s.service();
            }
        }
        return services.get(0).service();
    }
}
