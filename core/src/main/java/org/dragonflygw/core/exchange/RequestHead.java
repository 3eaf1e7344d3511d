package org.dragonflygw.core.exchange;

import java.util.Optional;
import java.util.OptionalLong;
import org.dragonflygw.core.dispatch.Prompt;

/**
 * Decoded head of a caller's request.
 *
 * @param attemptId id that the caller gave to this attempt, or an empty string if it is missing
 * @param host value of the Host header without the port
 * @param path path without the query string
 * @param key API key, if the caller sent one
 * @param deadlineMs how long the caller waits for the response, in milliseconds, if the caller stated a limit
 * @param resumption stream that the caller takes up, if any
 * @param prompt lengths and keys of the parts of the prompt
 */
public record RequestHead(
        String attemptId,
        String host,
        String path,
        Optional<String> key,
        OptionalLong deadlineMs,
        Optional<Resumption> resumption,
        Prompt prompt) {}
