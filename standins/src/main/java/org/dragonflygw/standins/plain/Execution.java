package org.dragonflygw.standins.plain;

/**
 * One run of a request by a plain service.
 *
 * @param number number of the run, from 1
 * @param requestId value of {@code X-Request-Id}
 * @param idempotencyKey value of {@code Idempotency-Key}; empty when absent
 * @param method method
 * @param path path
 * @param body body as text
 * @param atMillis time of the run, in milliseconds since the epoch
 */
public record Execution(
        long number, String requestId, String idempotencyKey, String method, String path, String body, long atMillis) {}
