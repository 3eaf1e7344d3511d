package org.dragonflygw.bench.history;

/**
 * An event with its place in the history.
 *
 * @param number order of the event, from 0
 * @param atMillis time of the event, in milliseconds since the epoch
 * @param event the event
 */
public record HistoryEntry(long number, long atMillis, HistoryEvent event) {}
