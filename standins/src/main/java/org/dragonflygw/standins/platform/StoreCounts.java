package org.dragonflygw.standins.platform;

/**
 * Number of store calls since the start. All but {@code throttled} count calls that took effect.
 *
 * @param reads reads and scans of tables
 * @param commits transactions, including those that ended in a conflict
 * @param mutations mutations in all transactions
 * @param objectReads objects read
 * @param objectWrites objects written
 * @param throttled calls rejected by a rate limit
 */
public record StoreCounts(
        long reads, long commits, long mutations, long objectReads, long objectWrites, long throttled) {}
