package org.dragonflygw.standins.loopback;

/**
 * One row of the store's stand-in.
 *
 * @param table its table
 * @param key its key
 * @param data its bytes, empty if it was removed
 * @param version version of its last change
 * @param deleted whether it was removed
 */
@SuppressWarnings("ArrayRecordComponent") // Rows are read and never compared.
public record StoredRow(String table, String key, byte[] data, long version, boolean deleted) {}
