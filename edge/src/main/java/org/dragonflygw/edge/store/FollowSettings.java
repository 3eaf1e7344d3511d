package org.dragonflygw.edge.store;

/**
 * How a table is followed.
 *
 * @param table its name
 * @param waitMs how long the store waits for a change, in milliseconds; 0 for an answer at once
 * @param pauseMs pause between reads, in milliseconds
 * @param timeoutMs how long an answer may take beyond the wait, in milliseconds
 * @param retryMs pause after a failed read, in milliseconds
 */
public record FollowSettings(String table, long waitMs, long pauseMs, long timeoutMs, long retryMs) {}
