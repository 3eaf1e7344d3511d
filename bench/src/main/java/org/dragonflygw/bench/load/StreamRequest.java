package org.dragonflygw.bench.load;

/**
 * One chat completion to send.
 *
 * @param url base URL
 * @param requestId request id for an engine that is called directly
 * @param chatId id of the chat
 * @param prefixFingerprint prefix fingerprint for an engine that is called directly
 * @param teamKey team key; empty for none
 * @param body JSON request body
 * @param tokens expected tokens of the response
 */
record StreamRequest(
        String url,
        String requestId,
        String chatId,
        String prefixFingerprint,
        String teamKey,
        String body,
        int tokens) {}
