package org.dragonflygw.standins.plain;

/**
 * One execution of a request by {@link PlainServer}.
 *
 * @param number sequence number of the execution, from 1
 * @param requestId value of {@code X-Request-Id}
 * @param idempotencyKey value of {@code Idempotency-Key}; empty when absent
 * @param method HTTP method
 * @param path decoded path
 * @param body request body as text
 * @param atMillis time of the execution, in milliseconds since the epoch
 */
public record Execution(
        long number, String requestId, String idempotencyKey, String method, String path, String body, long atMillis) {}
