package org.dragonflygw.edge.store;

import org.dragonflygw.core.storenews.ReadSchedule;

/**
 * How a table is followed.
 *
 * @param table its name
 * @param pace when it is read
 * @param timeoutMs how long an answer may take beyond the wait, in milliseconds
 * @param retryMs pause after a failed read, in milliseconds
 */
public record FollowSettings(String table, ReadSchedule pace, long timeoutMs, long retryMs) {}
