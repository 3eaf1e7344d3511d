package org.dragonflygw.edge.store;

import org.dragonflygw.core.storenews.ReadSchedule;

/**
 * How a table is followed.
 *
 * @param table its name
 * @param schedule when it is read
 * @param timeoutMs how long an answer may take beyond the wait, in milliseconds
 * @param retryMs pause after a failed read, in milliseconds
 */
public record TableFollowerSettings(String table, ReadSchedule schedule, long timeoutMs, long retryMs) {}
