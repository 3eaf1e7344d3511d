package org.dragonflygw.core.storage;

/**
 * A row of the store as a read returns it.
 *
 * @param key key in its table
 * @param data its bytes, empty if it was deleted or could not be decoded
 * @param version version of the transaction that wrote it
 * @param deleted whether it was deleted
 */
@SuppressWarnings("ArrayRecordComponent") // Rows are read once and never compared.
public record VersionedRow(String key, byte[] data, long version, boolean deleted) {}
