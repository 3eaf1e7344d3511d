package org.dragonflygw.core.ledger;

import java.time.Instant;
import org.dragonflygw.core.request.RequestContext;

/**
 * One arrival of a non-idempotent request. Arrivals with the same team and key are the same submission.
 *
 * @param requestId id of this arrival
 * @param team name of the team
 * @param service name of the service
 * @param key idempotency key that the caller gave
 * @param fingerprint hash of the whole request; the same key with another one is refused
 * @param deadline time after which the caller does not wait
 */
public record Submission(
        String requestId, String team, String service, String key, long fingerprint, Instant deadline) {
    /** The submission in a request that has an idempotency key. */
    public static Submission of(RequestContext request) {
        return new Submission(
                request.requestId(),
                request.team().name(),
                request.service().name(),
                request.idempotencyKey().orElseThrow(),
                request.fingerprint(),
                request.deadline());
    }
}
