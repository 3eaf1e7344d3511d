package org.dragonflygw.core.limits;

/**
 * Reply of a team's steward to a request for rate tokens.
 *
 * @param granted number of tokens that the requesting daemon may use
 * @param validMillis time after which unused tokens expire, in milliseconds
 * @param retryAfterMillis if no token was granted, the time until one is available, in milliseconds
 */
public record TeamTokens(int granted, long validMillis, long retryAfterMillis) {}
