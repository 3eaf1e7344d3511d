package org.dragonflygw.core.storage;

import java.util.Optional;

/**
 * One conditional write within a transaction.
 *
 * @param table name of the table
 * @param key key of the row
 * @param expectedVersion version that the row must have; {@link #ABSENT} if the row must not exist, {@link #ANY} for no
 *     condition
 * @param value new content of the row; empty to delete the row
 */
public record Mutation(String table, String key, long expectedVersion, Optional<String> value) {
    /** Expected version of a row that must not exist. */
    public static final long ABSENT = 0;

    /** Expected version that matches any state of the row. */
    public static final long ANY = -1;

    /** Inserts a row, on condition that it does not exist. */
    public static Mutation insert(String table, String key, String value) {
        return new Mutation(table, key, ABSENT, Optional.of(value));
    }

    /** Replaces a row, on condition that it has the given version. */
    public static Mutation replace(String table, String key, long expectedVersion, String value) {
        return new Mutation(table, key, expectedVersion, Optional.of(value));
    }

    /** Deletes a row, on condition that it has the given version. */
    public static Mutation delete(String table, String key, long expectedVersion) {
        return new Mutation(table, key, expectedVersion, Optional.empty());
    }
}
