package org.dragonflygw.core.storage;

/**
 * One row as a read of the platform's store returns it.
 *
 * @param key key of the row within its table
 * @param data content of the row; empty if the row was deleted or its content could not be decoded
 * @param version version of the transaction that wrote the row
 * @param deleted whether the row was deleted
 */
@SuppressWarnings("ArrayRecordComponent") // Rows are read once and never compared.
public record VersionedRow(String key, byte[] data, long version, boolean deleted) {}
