package org.dragonflygw.core.request;

import java.time.Instant;
import java.util.Optional;
import org.dragonflygw.core.config.Service;
import org.dragonflygw.core.config.Team;

/**
 * One request of a caller after its checks, as all decisions see it.
 *
 * @param requestId unique id, made by the entry router
 * @param team team of the caller
 * @param service service that takes the request
 * @param priority priority at the engine, 0 to 9
 * @param chatId chat that the request continues; empty for none
 * @param adapter adapter of the model; empty for none
 * @param prefixFingerprint hash of the first part of the prompt, which requests on the same documents share
 * @param fingerprint hash of the whole request, the same when its caller sends it again
 * @param promptTokens estimated length of the prompt
 * @param arrival time of arrival
 * @param deadline time after which the answer is late
 * @param idempotencyKey key that the caller gave; empty for none
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
