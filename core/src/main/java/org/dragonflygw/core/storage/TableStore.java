package org.dragonflygw.core.storage;

import java.util.List;
import java.util.Optional;

/**
 * The platform's transactional table service. Calls block; each throws {@link StorageException}. No call is
 * retried below this interface.
 */
public interface TableStore {
    /** Reads one row. */
    Optional<TableRow> read(String table, String key);

    /** Reads up to {@code limit} rows whose keys start with {@code prefix} and come after {@code afterKey}, in key order. */
    List<TableRow> scan(String table, String prefix, String afterKey, int limit);

    /** Applies all mutations or none. */
    CommitResult commit(List<Mutation> mutations);
}
