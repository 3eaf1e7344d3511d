package org.dragonflygw.core.exchange;

import java.util.Optional;
import java.util.OptionalLong;
import org.dragonflygw.core.dispatch.Prompt;

/**
 * What the head of a caller's request says, decoded.
 *
 * @param attemptId id of this attempt of the caller, empty text if it is missing
 * @param host host that it names, without a port
 * @param path path without the query
 * @param key the caller's key, if it sent one
 * @param deadlineMs how long the caller waits, in milliseconds, if it says so
 * @param prompt its prompt
 */
public record RequestHead(
        String attemptId, String host, String path, Optional<String> key, OptionalLong deadlineMs, Prompt prompt) {}
