package org.dragonflygw.edge.store;

import org.dragonflygw.core.storenews.ReadSchedule;

/**
 * Settings of a {@link TableFollower}.
 *
 * @param table name of the table
 * @param schedule when the table is read
 * @param timeoutMs response timeout in milliseconds, added to the long-poll time
 * @param retryMs delay after a failed read, in milliseconds
 */
public record TableFollowerSettings(String table, ReadSchedule schedule, long timeoutMs, long retryMs) {}
