package org.dragonflygw.standins.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import org.dragonflygw.core.storage.CommitResult;
import org.dragonflygw.core.storage.Mutation;
import org.dragonflygw.core.storage.TableRow;

/**
 * In-memory tables with conditional transactions over many rows. A row that is deleted and written again restarts at
 * version 1. Thread-safe.
 */
final class TableService {
    private final NavigableMap<RowKey, TableRow> rows = new TreeMap<>();
    private NavigableMap<RowKey, TableRow> snapshot;

    synchronized Optional<TableRow> read(String table, String key) {
        return Optional.ofNullable(visibleRows().get(new RowKey(table, key)));
    }

    synchronized List<TableRow> scan(String table, String prefix, String afterKey, int limit) {
        String first = afterKey.compareTo(prefix) < 0 ? prefix : afterKey;
        List<TableRow> found = new ArrayList<>();
        for (TableRow row :
                visibleRows().tailMap(new RowKey(table, first), true).values()) {
            boolean inRange = row.table().equals(table) && row.key().startsWith(prefix);
            if (!inRange || found.size() == limit) {
                break;
            }
            if (row.key().compareTo(afterKey) > 0) {
                found.add(row);
            }
        }
        return found;
    }

    synchronized CommitResult commit(List<Mutation> mutations) {
        List<TableRow> conflicts = new ArrayList<>();
        for (Mutation mutation : mutations) {
            TableRow row = currentRow(mutation);
            boolean conditional = mutation.expectedVersion() != Mutation.ANY;
            if (conditional && row.version() != mutation.expectedVersion()) {
                conflicts.add(row);
            }
        }
        if (!conflicts.isEmpty()) {
            return CommitResult.conflict(conflicts);
        }
        mutations.forEach(this::apply);
        return CommitResult.success();
    }

    /** Reads the current row, even while reads are frozen. */
    synchronized Optional<TableRow> readCurrent(String table, String key) {
        return Optional.ofNullable(rows.get(new RowKey(table, key)));
    }

    /** Reads all current rows of a table, even while reads are frozen. */
    synchronized List<TableRow> scanCurrent(String table) {
        return rows.values().stream().filter(row -> row.table().equals(table)).toList();
    }

    /** Serves all reads from a snapshot of the current state until {@link #unfreeze} is called. */
    synchronized void freeze() {
        if (snapshot == null) {
            snapshot = new TreeMap<>(rows);
        }
    }

    synchronized void unfreeze() {
        snapshot = null;
    }

    private NavigableMap<RowKey, TableRow> visibleRows() {
        return snapshot == null ? rows : snapshot;
    }

    private TableRow currentRow(Mutation mutation) {
        TableRow row = rows.get(new RowKey(mutation.table(), mutation.key()));
        return row == null ? new TableRow(mutation.table(), mutation.key(), Mutation.ABSENT, "") : row;
    }

    private void apply(Mutation mutation) {
        RowKey key = new RowKey(mutation.table(), mutation.key());
        if (mutation.value().isEmpty()) {
            rows.remove(key);
            return;
        }
        long version = currentRow(mutation).version() + 1;
        rows.put(
                key,
                new TableRow(
                        mutation.table(),
                        mutation.key(),
                        version,
                        mutation.value().get()));
    }

    private record RowKey(String table, String key) implements Comparable<RowKey> {
        @Override
        public int compareTo(RowKey other) {
            int byTable = table.compareTo(other.table);
            return byTable != 0 ? byTable : key.compareTo(other.key);
        }
    }
}
