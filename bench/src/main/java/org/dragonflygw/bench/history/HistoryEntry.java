package org.dragonflygw.bench.history;

/**
 * An event with its position and time in the history.
 *
 * @param number position of the event in the history, from 0
 * @param atMillis time of the event, in milliseconds since the epoch
 * @param event the event
 */
public record HistoryEntry(long number, long atMillis, HistoryEvent event) {}
