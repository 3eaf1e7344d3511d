package org.dragonflygw.bench.history;

/**
 * A promise that a history breaks.
 *
 * @param promise the promise
 * @param subject request, submission, daemon or endpoint
 * @param detail what was seen
 */
public record Violation(Promise promise, String subject, String detail) {}
