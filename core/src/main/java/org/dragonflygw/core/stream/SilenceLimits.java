package org.dragonflygw.core.stream;

import org.dragonflygw.core.request.RequestContext;

/**
 * How long a connection may stay silent before it counts as lost.
 *
 * @param firstTokenMillis limit before the first token, with room for the prefill of the prompt
 * @param tokenGapMillis limit between two tokens
 */
public record SilenceLimits(long firstTokenMillis, long tokenGapMillis) {
    private static final long MIN_FIRST_TOKEN_MILLIS = 2_000;
    private static final long PREFILL_MICROS_PER_TOKEN = 500;

    /** Limits for a request from the expectation of its service. */
    public static SilenceLimits of(RequestContext request) {
        long gapMillis = request.service().tokenGapMillis();
        long prefillMillis = request.promptTokens() * PREFILL_MICROS_PER_TOKEN / 1_000;
        return new SilenceLimits(Math.max(MIN_FIRST_TOKEN_MILLIS, gapMillis + prefillMillis), gapMillis);
    }

    /** The limit now, after a number of tokens. */
    public long limitMillis(long tokens) {
        return tokens == 0 ? firstTokenMillis : tokenGapMillis;
    }
}
