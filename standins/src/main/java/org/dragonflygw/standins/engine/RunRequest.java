package org.dragonflygw.standins.engine;

/**
 * One chat completion to run.
 *
 * @param requestId id of the request
 * @param model model named by the request
 * @param response answer that it will get
 * @param priority 0 to 9, the highest first
 * @param prefix fingerprint of the prompt's prefix; empty when none was given
 * @param promptTokens length of the prompt
 */
record RunRequest(
        String requestId, String model, ResponseText response, int priority, String prefix, long promptTokens) {}
