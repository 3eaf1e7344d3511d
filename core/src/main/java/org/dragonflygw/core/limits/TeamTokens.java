package org.dragonflygw.core.limits;

/**
 * Answer to a request for tokens of a team's rate.
 *
 * @param granted tokens that the asker may use
 * @param validMillis time after which unused ones are void, in milliseconds
 * @param retryAfterMillis when none was granted, time until there is one, in milliseconds
 */
public record TeamTokens(int granted, long validMillis, long retryAfterMillis) {}
