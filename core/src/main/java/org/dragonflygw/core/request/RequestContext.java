package org.dragonflygw.core.request;

import java.time.Instant;
import java.util.Optional;
import org.dragonflygw.core.config.Service;
import org.dragonflygw.core.config.Team;

/**
 * One validated request of a caller, with everything that later decisions on the request need.
 *
 * @param requestId unique id, assigned by the router that received the request
 * @param team team of the caller
 * @param service service that the request is routed to
 * @param priority priority at the engine, 0 to 9
 * @param chatId chat that the request continues; empty if there is none
 * @param adapter adapter of the model; empty if none is asked for
 * @param prefixFingerprint hash of the start of the prompt, which is the same for requests on the same documents
 * @param fingerprint hash of the whole request, which is the same when the caller repeats the request
 * @param promptTokens estimated length of the prompt in tokens
 * @param arrival time of arrival
 * @param deadline time by which the caller expects the response
 * @param idempotencyKey idempotency key, if the caller gave one
 * @param nonIdempotent whether the request must run at most once
 */
public record RequestContext(
        String requestId,
        Team team,
        Service service,
        int priority,
        String chatId,
        String adapter,
        long prefixFingerprint,
        long fingerprint,
        int promptTokens,
        Instant arrival,
        Instant deadline,
        Optional<String> idempotencyKey,
        boolean nonIdempotent) {}
