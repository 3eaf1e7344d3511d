package org.dragonflygw.core.storenews;

/**
 * Ages of a host's copy of a table at which the host reads the table again.
 *
 * @param readerMaxAgeMs age at which the reader of a group reads, in milliseconds
 * @param longPollMs time for which the store waits for a change when the reader reads, in milliseconds
 * @param followerMaxAgeMs age at which the first host after the reader reads, in milliseconds
 * @param staggerMs additional age at which each further host reads, in milliseconds
 */
public record ReadIntervals(long readerMaxAgeMs, long longPollMs, long followerMaxAgeMs, long staggerMs) {}
