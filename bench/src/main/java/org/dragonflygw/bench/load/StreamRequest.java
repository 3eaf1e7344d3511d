package org.dragonflygw.bench.load;

/**
 * One chat completion to send.
 *
 * @param url base URL
 * @param requestId id that an engine sees when it is asked directly
 * @param chatId chat
 * @param prefixFingerprint fingerprint that an engine sees when it is asked directly
 * @param teamKey team key; empty for none
 * @param body body in JSON
 * @param tokens tokens of the answer
 */
record StreamRequest(
        String url,
        String requestId,
        String chatId,
        String prefixFingerprint,
        String teamKey,
        String body,
        int tokens) {}
