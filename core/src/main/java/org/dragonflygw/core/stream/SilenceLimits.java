package org.dragonflygw.core.stream;

import org.dragonflygw.core.request.RequestContext;

/**
 * How long a connection may be silent before it is treated as lost.
 *
 * @param firstTokenMillis limit before the first token in milliseconds, including time for the prefill of the prompt
 * @param tokenGapMillis limit between two tokens in milliseconds
 */
public record SilenceLimits(long firstTokenMillis, long tokenGapMillis) {
    private static final long MIN_FIRST_TOKEN_MILLIS = 2_000;
    private static final long PREFILL_MICROS_PER_TOKEN = 500;

    /** Returns the limits for a request, from the token gap of its service and the length of its prompt. */
    public static SilenceLimits of(RequestContext request) {
        long gapMillis = request.service().tokenGapMillis();
        long prefillMillis = request.promptTokens() * PREFILL_MICROS_PER_TOKEN / 1_000;
        return new SilenceLimits(Math.max(MIN_FIRST_TOKEN_MILLIS, gapMillis + prefillMillis), gapMillis);
    }

    /** The current limit in milliseconds, after the given number of tokens. */
    public long limitMillis(long tokens) {
        return tokens == 0 ? firstTokenMillis : tokenGapMillis;
    }
}
