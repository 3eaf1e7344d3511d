package org.dragonflygw.core.storenews;

/**
 * Ages of what is known of a table at which hosts read it again.
 *
 * @param readerMaxAgeMs age at which the reader reads again, in milliseconds
 * @param longPollMs how long the store waits for a change when the reader asks, in milliseconds
 * @param followerMaxAgeMs age at which the first of the others reads, in milliseconds
 * @param staggerMs how much later each further one does, in milliseconds
 */
public record ReadIntervals(long readerMaxAgeMs, long longPollMs, long followerMaxAgeMs, long staggerMs) {}
