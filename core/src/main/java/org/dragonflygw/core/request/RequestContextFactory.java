package org.dragonflygw.core.request;

import java.time.Clock;
import java.time.Instant;
import net.openhft.hashing.LongHashFunction;
import org.dragonflygw.core.config.Team;

/** Builds the context of a request from its validated parts. Thread-safe. */
public final class RequestContextFactory {
    private static final int BYTES_PER_TOKEN = 4;

    private final Clock clock;

    public RequestContextFactory(Clock clock) {
        this.clock = clock;
    }

    /** Returns the context of a chat completion request. */
    public RequestContext chat(
            String requestId, Team team, Route route, RequestHeaders headers, ChatRequest chat, byte[] body) {
        return create(
                requestId,
                team,
                route,
                headers,
                chat.adapter(),
                chat.prefixFingerprint(),
                fingerprint(team, "", body),
                chat.promptTokens());
    }

    /**
     * Returns the context of a request to a plain service.
     *
     * @param target method and path of the request
     */
    public RequestContext plain(
            String requestId, Team team, Route route, RequestHeaders headers, String target, byte[] body) {
        long fingerprint = fingerprint(team, target, body);
        return create(requestId, team, route, headers, "", fingerprint, fingerprint, body.length / BYTES_PER_TOKEN);
    }

    private RequestContext create(
            String requestId,
            Team team,
            Route route,
            RequestHeaders headers,
            String adapter,
            long prefixFingerprint,
            long fingerprint,
            int promptTokens) {
        Instant arrival = clock.instant();
        long deadlineMillis = headers.deadlineMillis().orElse(route.service().deadlineMillis());
        int priority = Math.min(route.maxPriority(), headers.priority().orElse(route.maxPriority()));
        return new RequestContext(
                requestId,
                team,
                route.service(),
                priority,
                headers.chatId(),
                adapter,
                prefixFingerprint,
                fingerprint,
                promptTokens,
                arrival,
                arrival.plusMillis(deadlineMillis),
                headers.idempotencyKey(),
                headers.nonIdempotent());
    }

    private static long fingerprint(Team team, String target, byte[] body) {
        long seed = LongHashFunction.xx().hashChars(team.name() + ' ' + target);
        return LongHashFunction.xx(seed).hashBytes(body);
    }
}
