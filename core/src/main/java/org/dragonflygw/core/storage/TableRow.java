package org.dragonflygw.core.storage;

/**
 * One row of a table in the platform's table service.
 *
 * @param table name of the table
 * @param key key of the row within the table
 * @param version number of writes of the row, from 1
 * @param value content, by convention JSON
 */
public record TableRow(String table, String key, long version, String value) {}
