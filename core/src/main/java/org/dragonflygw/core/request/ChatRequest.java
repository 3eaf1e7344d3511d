package org.dragonflygw.core.request;

/**
 * The parts of a chat completion request that routing needs.
 *
 * @param model name of the model, as the caller gave it
 * @param adapter adapter of the model; empty if none is asked for
 * @param stream whether the response is to be streamed as server-sent events
 * @param prefixFingerprint hash of the leading system messages, or of the start of the first message if there are none
 * @param promptTokens estimated length of the prompt in tokens
 */
public record ChatRequest(String model, String adapter, boolean stream, long prefixFingerprint, int promptTokens) {}
