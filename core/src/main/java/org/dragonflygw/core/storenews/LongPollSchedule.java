package org.dragonflygw.core.storenews;

/**
 * Reads a table that changes rarely by long polls, one after the other, on each host. A table that changes often is read
 * at a fixed interval.
 *
 * @param minIntervalMs least time between two reads, in milliseconds
 * @param longPollMs time for which the store waits for a change, in milliseconds
 */
public record LongPollSchedule(long minIntervalMs, long longPollMs) implements ReadSchedule {
    @Override
    public long delayMs(long ageMs) {
        return minIntervalMs - ageMs;
    }
}
