package org.dragonflygw.core.exchange;

import org.dragonflygw.core.catalog.CatalogRoute;
import org.dragonflygw.core.catalog.CatalogService;
import org.dragonflygw.core.dispatch.Prompt;

/**
 * A caller's request after its route and team are known.
 *
 * @param id id of the caller's attempt
 * @param team name of the team, empty for anonymous requests
 * @param route its route
 * @param service where it goes
 * @param priority rank, 0 is the most urgent
 * @param prompt its prompt
 * @param arrivedNanos when its head was read, on the monotonic clock
 * @param deadlineMs how long the caller waits, in milliseconds
 * @param fingerprint hash of what the caller sends again under another id; 0 if it is not followed
 */
public record ExchangeRequest(
        String id,
        String team,
        CatalogRoute route,
        CatalogService service,
        int priority,
        Prompt prompt,
        long arrivedNanos,
        long deadlineMs,
        long fingerprint) {
    private static final long NANOS_PER_MS = 1_000_000;

    /** When an answer must have ended, on the monotonic clock. */
    public long expiryNanos() {
        return arrivedNanos + Math.min(deadlineMs, route.timeoutMs()) * NANOS_PER_MS;
    }
}
