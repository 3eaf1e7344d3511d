package org.dragonflygw.core.storage;

import java.util.List;
import java.util.Optional;

/**
 * Client of the platform's transactional table service. Calls block and throw {@link StorageException} if they fail.
 * Implementations never retry a call.
 */
public interface TableStore {
    /** Reads one row; empty if there is none. */
    Optional<TableRow> read(String table, String key);

    /** Reads up to {@code limit} rows whose keys start with {@code prefix} and come after {@code afterKey}, in key order. */
    List<TableRow> scan(String table, String prefix, String afterKey, int limit);

    /** Commits all mutations in one transaction, or none of them if a condition fails. */
    CommitResult commit(List<Mutation> mutations);
}
