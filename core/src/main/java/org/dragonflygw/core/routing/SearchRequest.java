package org.dragonflygw.core.routing;

/**
 * Properties of a request that a {@link SlotSearch} uses.
 *
 * @param requestId id of the request
 * @param team team name
 * @param teamWeight weight of the team
 * @param key hashes by which the candidates are ranked
 * @param fingerprint hash of the whole request
 * @param coldPrefillMillis additional time that an engine without the request's cache needs for the prefill, in
 *     milliseconds
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
