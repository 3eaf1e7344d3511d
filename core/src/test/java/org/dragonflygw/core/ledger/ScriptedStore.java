package org.dragonflygw.core.ledger;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.dragonflygw.core.storage.CommitResult;
import org.dragonflygw.core.storage.Mutation;
import org.dragonflygw.core.storage.ObjectStore;
import org.dragonflygw.core.storage.StorageCode;
import org.dragonflygw.core.storage.StorageException;
import org.dragonflygw.core.storage.TableRow;
import org.dragonflygw.core.storage.TableStore;

/** In-memory table and object store that takes the next fault of a script for each commit. */
final class ScriptedStore implements TableStore, ObjectStore {
    enum Fault {
        NONE,
        UNAVAILABLE,
        THROTTLED,
        /** The commit takes effect, but its answer is lost. */
        ANSWER_LOST,
        /** The commit is lost before it takes effect; the caller cannot tell this from a lost answer. */
        LOST
    }

    final ArrayDeque<Fault> faults = new ArrayDeque<>();
    final Map<String, TableRow> rows = new TreeMap<>();
    final Map<String, byte[]> objects = new TreeMap<>();
    /** Fault of each commit once the script is empty. */
    Fault always = Fault.NONE;

    int commits;

    @Override
    public Optional<TableRow> read(String table, String key) {
        return Optional.ofNullable(rows.get(key));
    }

    @Override
    public List<TableRow> scan(String table, String prefix, String afterKey, int limit) {
        return rows.values().stream()
                .filter(r -> r.key().startsWith(prefix) && r.key().compareTo(afterKey) > 0)
                .limit(limit)
                .toList();
    }

    @Override
    public CommitResult commit(List<Mutation> mutations) {
        commits++;
        Fault fault = faults.isEmpty() ? always : faults.poll();
        return switch (fault) {
            case UNAVAILABLE -> throw new StorageException(StorageCode.UNAVAILABLE, "down");
            case THROTTLED -> throw new StorageException(StorageCode.THROTTLED, "over the rate");
            case LOST -> throw new StorageException(StorageCode.OUTCOME_UNKNOWN, "request lost");
            case ANSWER_LOST -> {
                apply(mutations);
                throw new StorageException(StorageCode.OUTCOME_UNKNOWN, "answer lost");
            }
            case NONE -> apply(mutations);
        };
    }

    private CommitResult apply(List<Mutation> mutations) {
        List<TableRow> conflicts = new ArrayList<>();
        for (Mutation m : mutations) {
            TableRow row = rows.getOrDefault(m.key(), new TableRow(m.table(), m.key(), Mutation.ABSENT, ""));
            if (row.version() != m.expectedVersion()) {
                conflicts.add(row);
            }
        }
        if (!conflicts.isEmpty()) {
            return CommitResult.conflict(conflicts);
        }
        for (Mutation m : mutations) {
            if (m.value().isEmpty()) {
                rows.remove(m.key());
            } else {
                rows.put(
                        m.key(),
                        new TableRow(
                                m.table(),
                                m.key(),
                                m.expectedVersion() + 1,
                                m.value().get()));
            }
        }
        return CommitResult.success();
    }

    @Override
    public void put(String key, byte[] content) {
        objects.put(key, content);
    }

    @Override
    public byte[] get(String key) {
        return Optional.ofNullable(objects.get(key))
                .orElseThrow(() -> new StorageException(StorageCode.NOT_FOUND, key));
    }
}
