package org.dragonflygw.core.admission;

import org.dragonflygw.core.catalog.CatalogService;

/**
 * Properties of a request that decide whether, how long and in which order it waits.
 *
 * @param id id that the caller gave to this attempt
 * @param service service that the request is sent to
 * @param route name of the route
 * @param team name of the team, empty for anonymous requests
 * @param priority priority; 0 is the most urgent
 * @param arrivedNanos when the head of the request was read, on the monotonic clock
 * @param expiryNanos when the response must be complete, on the monotonic clock
 * @param objectiveMs target time until the response begins, in milliseconds
 * @param deadlineMs how long the caller waits for the response, in milliseconds
 * @param promptTokens length of the prompt, in tokens
 * @param subject id of the prompt's shared prefix, 0 if it has none
 * @param fingerprint hash by which a repeat under another id is recognized
 * @param constrained whether only some endpoints of the service may serve the request
 */
public record WaitRequest(
        String id,
        CatalogService service,
        String route,
        String team,
        int priority,
        long arrivedNanos,
        long expiryNanos,
        long objectiveMs,
        long deadlineMs,
        int promptTokens,
        long subject,
        long fingerprint,
        boolean constrained) {}
