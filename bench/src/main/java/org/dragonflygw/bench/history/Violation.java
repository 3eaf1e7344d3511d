package org.dragonflygw.bench.history;

/**
 * A violation of a promise, found in a history.
 *
 * @param promise the violated promise
 * @param subject id of the request, submission, daemon or endpoint concerned
 * @param detail what the history shows
 */
public record Violation(Promise promise, String subject, String detail) {}
