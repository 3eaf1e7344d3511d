package org.dragonflygw.core.storage;

/**
 * One row of the table service.
 *
 * @param table name of the table
 * @param key key of the row within the table
 * @param version counts the writes of the row, from 1
 * @param value content as text, JSON by custom
 */
public record TableRow(String table, String key, long version, String value) {}
