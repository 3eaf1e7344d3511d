package org.dragonflygw.standins.engine;

/**
 * One chat completion to run.
 *
 * @param requestId id of the request
 * @param model name of the requested model
 * @param answer text that the request gets as response
 * @param priority priority from 0 to 9; higher values run first
 * @param prefix fingerprint of the prompt's prefix; empty when none was given
 * @param promptTokens length of the prompt, in tokens
 */
record RunRequest(
        String requestId, String model, ResponseText answer, int priority, String prefix, long promptTokens) {}
