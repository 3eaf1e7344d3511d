package org.dragonflygw.core.exchange;

import java.util.Optional;
import org.dragonflygw.core.catalog.CatalogRoute;
import org.dragonflygw.core.catalog.CatalogService;
import org.dragonflygw.core.dispatch.Prompt;

/**
 * A caller's request after its route, team and service were resolved.
 *
 * @param id id that the caller gave to this attempt
 * @param team name of the team, empty for anonymous requests
 * @param route route that matches the request
 * @param service service that the request is sent to
 * @param priority priority; 0 is the most urgent
 * @param resumption stream that the caller takes up, if any
 * @param prompt lengths and keys of the parts of the prompt
 * @param arrivedNanos when the head of the request was read, on the monotonic clock
 * @param deadlineMs how long the caller waits for the response, in milliseconds
 * @param fingerprint hash of the request's method, target, body and team, by which a repeat under another id or with
 *     another key of the team is recognized
 */
public record ExchangeRequest(
        String id,
        String team,
        CatalogRoute route,
        CatalogService service,
        int priority,
        Optional<Resumption> resumption,
        Prompt prompt,
        long arrivedNanos,
        long deadlineMs,
        long fingerprint) {
    private static final long NANOS_PER_MS = 1_000_000;

    /** Time on the monotonic clock by which the response must be complete: caller's deadline or route's timeout. */
    public long expiryNanos() {
        return arrivedNanos + Math.min(deadlineMs, route.timeoutMs()) * NANOS_PER_MS;
    }
}
