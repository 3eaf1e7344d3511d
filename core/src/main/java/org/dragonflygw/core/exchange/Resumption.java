package org.dragonflygw.core.exchange;

/**
 * A stream that a caller takes up after its connection broke.
 *
 * @param originAttempt id of the attempt that brought the first event; empty if the caller does not name it
 * @param lastEventId id of the last event that the caller has; empty if it does not name it
 */
public record Resumption(String originAttempt, String lastEventId) {}
