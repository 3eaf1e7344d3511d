package org.dragonflygw.standins.platform;

/**
 * Calls that took effect.
 *
 * @param reads reads and scans of tables
 * @param commits transactions, with those that ended in a conflict
 * @param mutations mutations in all transactions
 * @param objectReads objects read
 * @param objectWrites objects written
 * @param throttled calls refused by a rate limit
 */
public record StoreCounts(
        long reads, long commits, long mutations, long objectReads, long objectWrites, long throttled) {}
