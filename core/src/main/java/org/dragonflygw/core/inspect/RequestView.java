package org.dragonflygw.core.inspect;

/**
 * One open request: element of the answer of {@code GET /v1/requests}.
 *
 * @param requestId id of the request
 * @param team team of the caller
 * @param service service that the request goes to
 * @param chatId chat; empty for none
 * @param endpointId endpoint that runs it; empty while it waits
 * @param attempt number of the attempt, from 1
 * @param ageMillis time since arrival, in milliseconds
 */
public record RequestView(
        String requestId, String team, String service, String chatId, String endpointId, int attempt, long ageMillis) {}
