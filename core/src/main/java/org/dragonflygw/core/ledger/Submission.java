package org.dragonflygw.core.ledger;

import java.time.Instant;
import org.dragonflygw.core.request.RequestContext;

/**
 * A non-idempotent request with an idempotency key. Requests with the same team and key are repeats of one submission,
 * of which at most one is run.
 *
 * @param requestId id of this request
 * @param team name of the team
 * @param service name of the service
 * @param key idempotency key of the caller
 * @param fingerprint hash of the whole request; the same key with another fingerprint is rejected
 * @param deadline time until which the caller waits
 */
public record Submission(
        String requestId, String team, String service, String key, long fingerprint, Instant deadline) {
    /**
     * Creates the submission of a request.
     *
     * @throws java.util.NoSuchElementException if the request has no idempotency key
     */
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
