package org.dragonflygw.core.request;

/**
 * The parts of a chat completion request that decisions need.
 *
 * @param model model name that the caller gave
 * @param adapter adapter of the model; empty for none
 * @param stream whether the answer is to come as events
 * @param prefixFingerprint hash of the leading system messages, or of the start of the first message
 * @param promptTokens estimated length of the prompt
 */
public record ChatRequest(String model, String adapter, boolean stream, long prefixFingerprint, int promptTokens) {}
