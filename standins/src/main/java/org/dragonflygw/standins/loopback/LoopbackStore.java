package org.dragonflygw.standins.loopback;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** In-memory rows of the platform's store. Readers can wait for changes. Thread-safe; guarded by its own monitor. */
public final class LoopbackStore {
    private static final byte[] NO_BYTES = {};

    private final Map<String, Map<String, StoredRow>> tables = new HashMap<>();
    private long version;

    /** Writes a row and returns its new version. */
    public synchronized long put(String table, String key, byte[] data) {
        return change(new StoredRow(table, key, data, version + 1, false));
    }

    /** Removes a row and returns the version of the change. */
    public synchronized long remove(String table, String key) {
        return change(new StoredRow(table, key, NO_BYTES, version + 1, true));
    }

    private long change(StoredRow row) {
        version = row.version();
        tables.computeIfAbsent(row.table(), t -> new HashMap<>()).put(row.key(), row);
        notifyAll();
        return version;
    }

    /** Returns the version of the newest change. */
    public synchronized long version() {
        return version;
    }

    /** Returns the rows of a table, sorted by key, without removed rows. */
    public synchronized List<StoredRow> list(String table) {
        return rows(table).stream()
                .filter(r -> !r.deleted())
                .sorted(Comparator.comparing(StoredRow::key))
                .toList();
    }

    /** Returns the rows of a table changed after a version, oldest first. Waits up to {@code waitMs} for a change. */
    public synchronized List<StoredRow> changes(String table, long after, long waitMs) {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMs);
        List<StoredRow> changed = changed(table, after);
        try {
            long leftMs = waitMs;
            while (changed.isEmpty() && leftMs > 0) {
                wait(leftMs);
                changed = changed(table, after);
                leftMs = TimeUnit.NANOSECONDS.toMillis(endNanos - System.nanoTime());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt(); // The platform is closing.
        }
        return changed;
    }

    private List<StoredRow> changed(String table, long after) {
        return rows(table).stream()
                .filter(r -> r.version() > after)
                .sorted(Comparator.comparingLong(StoredRow::version))
                .toList();
    }

    private List<StoredRow> rows(String table) {
        return new ArrayList<>(tables.getOrDefault(table, Map.of()).values());
    }
}
