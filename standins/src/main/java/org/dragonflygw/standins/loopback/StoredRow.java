package org.dragonflygw.standins.loopback;

/**
 * One row of the {@link LoopbackStore}.
 *
 * @param table table of the row
 * @param key key of the row within the table
 * @param data content of the row; empty if the row was removed
 * @param version store version of the last change to the row
 * @param deleted whether the row was removed
 */
@SuppressWarnings("ArrayRecordComponent") // Rows are read and never compared.
public record StoredRow(String table, String key, byte[] data, long version, boolean deleted) {}
