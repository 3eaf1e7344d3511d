package org.dragonflygw.core.routing;

/**
 * Request for a slot on one engine.
 *
 * @param requestId id of the caller's request
 * @param team team name
 * @param teamWeight weight of the team
 * @param chatHash hash of the chat; see {@link CandidateKey}
 * @param prefixHash hash of the prompt prefix; see {@link CandidateKey}
 * @param fingerprint hash of the whole request
 * @param remainingMillis time left until the deadline, in milliseconds
 * @param maxWaitMillis maximum time in the queue, in milliseconds
 * @param suspect whether the request was in flight on an engine that was lost
 * @param followRedirect whether the steward may answer with a redirect to another engine
 * @param lastResort whether no other candidate has a free slot
 */
public record SlotRequest(
        String requestId,
        String team,
        int teamWeight,
        long chatHash,
        long prefixHash,
        long fingerprint,
        long remainingMillis,
        long maxWaitMillis,
        boolean suspect,
        boolean followRedirect,
        boolean lastResort) {}
