package org.dragonflygw.standins.loopback;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * In-memory rows of the platform's store. Readers can wait for changes. The store can be restored from a copy of its state,
 * after which it gives out the versions since the copy again. Thread-safe; guarded by its own monitor.
 */
public final class LoopbackStore {
    private static final byte[] NO_BYTES = {};

    private final Map<String, Map<String, StoredRow>> tables = new HashMap<>();
    private long version;
    private long era;

    /** Returns a copy of the current state. */
    public synchronized StoreCopy copy() {
        Map<String, Map<String, StoredRow>> copied = new HashMap<>();
        tables.forEach((name, rows) -> copied.put(name, Map.copyOf(rows)));
        return new StoreCopy(copied, version);
    }

    /** Goes back to a copy: changes since then are lost, and a new era begins. */
    public synchronized void restore(StoreCopy copy) {
        tables.clear();
        copy.tables().forEach((name, rows) -> tables.put(name, new HashMap<>(rows)));
        version = copy.version();
        era++;
        notifyAll();
    }

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

    /** Returns the current era and version, without rows. */
    synchronized StorePage state() {
        return new StorePage(era, List.of(), version);
    }

    /** Returns the rows of a table, sorted by key, without removed rows. */
    synchronized StorePage list(String table) {
        List<StoredRow> current = rows(table).stream()
                .filter(r -> !r.deleted())
                .sorted(Comparator.comparing(StoredRow::key))
                .toList();
        return new StorePage(era, current, version);
    }

    /**
     * Returns the rows of a table changed after a version, oldest first, or nothing if the store does not have that
     * version. Waits up to {@code waitMs} for a change.
     */
    synchronized Optional<StorePage> changes(String table, long after, long waitMs) {
        List<StoredRow> changed = awaitChanges(table, after, waitMs);
        if (after > version) {
            return Optional.empty();
        }
        long newest =
                changed.isEmpty() ? after : changed.get(changed.size() - 1).version();
        return Optional.of(new StorePage(era, changed, newest));
    }

    private List<StoredRow> awaitChanges(String table, long after, long waitMs) {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMs);
        List<StoredRow> changed = changed(table, after);
        try {
            long leftMs = waitMs;
            while (changed.isEmpty() && after <= version && leftMs > 0) {
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
