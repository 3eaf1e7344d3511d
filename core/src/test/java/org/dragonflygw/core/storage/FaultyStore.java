package org.dragonflygw.core.storage;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** In-memory table and object store whose next calls can be made to fail. Not thread-safe. */
public final class FaultyStore implements TableStore, ObjectStore {
    /** Faults of calls. */
    public enum Fault {
        /** Calls succeed. */
        NONE,
        /** Calls fail without effect. */
        DOWN,
        /** Writes take effect, but their responses are lost. */
        LOST_ANSWER,
        /** Writes do not take effect, and their responses are lost. */
        LOST_REQUEST,
        /** Responses to writes are lost; the writes take effect when {@link #deliverDelayed} is called. */
        DELAYED,
        /** Reads return the state at the time of {@link #takeSnapshot}. */
        STALE_READS
    }

    private final Deque<List<Mutation>> delayed = new ArrayDeque<>();
    private final Map<String, byte[]> objects = new HashMap<>();
    private TreeMap<String, TableRow> rows = new TreeMap<>();
    private TreeMap<String, TableRow> snapshot = new TreeMap<>();
    private Fault fault = Fault.NONE;
    private int faultyCalls;

    /** Applies a fault to the given number of next calls. */
    public void failNext(Fault next, int calls) {
        fault = next;
        faultyCalls = calls;
    }

    /** Saves the current state for {@link Fault#STALE_READS}. */
    public void takeSnapshot() {
        snapshot = new TreeMap<>(rows);
    }

    /** Applies the delayed writes in the order of their calls. */
    public void deliverDelayed() {
        while (!delayed.isEmpty()) {
            apply(delayed.poll());
        }
    }

    @Override
    public Optional<TableRow> read(String table, String key) {
        Fault now = nextFault();
        return Optional.ofNullable((now == Fault.STALE_READS ? snapshot : rows).get(table + "|" + key));
    }

    @Override
    public List<TableRow> scan(String table, String prefix, String afterKey, int limit) {
        TreeMap<String, TableRow> view = nextFault() == Fault.STALE_READS ? snapshot : rows;
        return view.tailMap(table + "|" + afterKey, false).values().stream()
                .filter(row -> row.table().equals(table) && row.key().startsWith(prefix))
                .limit(limit)
                .toList();
    }

    @Override
    public CommitResult commit(List<Mutation> mutations) {
        switch (nextFault()) {
            case LOST_ANSWER -> apply(mutations);
            case DELAYED -> delayed.add(mutations);
            case LOST_REQUEST -> {}
            default -> {
                return apply(mutations);
            }
        }
        throw new StorageException(StorageCode.OUTCOME_UNKNOWN, "answer lost");
    }

    @Override
    public void put(String key, byte[] content) {
        nextFault();
        objects.put(key, content.clone());
    }

    @Override
    public byte[] get(String key) {
        nextFault();
        byte[] content = objects.get(key);
        if (content == null) {
            throw new StorageException(StorageCode.NOT_FOUND, key);
        }
        return content.clone();
    }

    private Fault nextFault() {
        Fault now = faultyCalls > 0 ? fault : Fault.NONE;
        faultyCalls = Math.max(0, faultyCalls - 1);
        if (now == Fault.DOWN) {
            throw new StorageException(StorageCode.UNAVAILABLE, "down");
        }
        return now;
    }

    private CommitResult apply(List<Mutation> mutations) {
        List<TableRow> conflicts = new ArrayList<>();
        for (Mutation mutation : mutations) {
            TableRow row = row(mutation);
            if (mutation.expectedVersion() != Mutation.ANY && mutation.expectedVersion() != row.version()) {
                conflicts.add(row);
            }
        }
        if (!conflicts.isEmpty()) {
            return CommitResult.conflict(conflicts);
        }
        mutations.forEach(this::write);
        return CommitResult.success();
    }

    private void write(Mutation mutation) {
        TableRow row = row(mutation);
        String key = mutation.table() + "|" + mutation.key();
        if (mutation.value().isEmpty()) {
            rows.remove(key);
        } else {
            rows.put(
                    key,
                    new TableRow(
                            row.table(),
                            row.key(),
                            row.version() + 1,
                            mutation.value().get()));
        }
    }

    private TableRow row(Mutation mutation) {
        TableRow absent = new TableRow(mutation.table(), mutation.key(), 0, "");
        return rows.getOrDefault(mutation.table() + "|" + mutation.key(), absent);
    }
}
