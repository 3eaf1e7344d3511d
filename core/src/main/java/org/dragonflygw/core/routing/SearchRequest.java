package org.dragonflygw.core.routing;

/**
 * What the search for a slot needs to know about a request.
 *
 * @param requestId id of the request
 * @param team team name
 * @param teamWeight weight of the team
 * @param key what the request shares with others
 * @param fingerprint hash of the whole request
 * @param coldPrefillMillis time that an engine without the request's cache needs more, in milliseconds
 * @param suspect whether the request was in flight on an engine that was lost
 */
public record SearchRequest(
        String requestId,
        String team,
        int teamWeight,
        CandidateKey key,
        long fingerprint,
        long coldPrefillMillis,
        boolean suspect) {}
