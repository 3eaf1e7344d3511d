package org.dragonflygw.bench.fuzz;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import org.dragonflygw.core.storage.CommitResult;
import org.dragonflygw.core.storage.Mutation;
import org.dragonflygw.core.storage.ObjectStore;
import org.dragonflygw.core.storage.StorageCode;
import org.dragonflygw.core.storage.StorageException;
import org.dragonflygw.core.storage.TableRow;
import org.dragonflygw.core.storage.TableStore;

/** An in-memory table service and object store with at most one injected fault at a time. Not thread-safe. */
final class FuzzStore implements TableStore, ObjectStore {
    private static final long SLOW_CALL_MILLIS = 300;
    private static final long VERY_SLOW_CALL_MILLIS = 2_500;
    private static final long LATE_EFFECT_MILLIS = 4_000;
    private static final long WRITES_PER_BURST = 4;

    private final VirtualTime time;
    private final FaultCounts counts;
    private final NavigableMap<String, TableRow> rows = new TreeMap<>();
    private final Map<String, byte[]> objects = new HashMap<>();
    private NavigableMap<String, TableRow> staleRows = new TreeMap<>();
    private StoreFault fault = StoreFault.NONE;
    private long writes;
    private long slowCalls;

    FuzzStore(VirtualTime time, FaultCounts counts) {
        this.time = time;
        this.counts = counts;
    }

    void setFault(StoreFault newFault) {
        fault = newFault;
        staleRows = new TreeMap<>(rows);
    }

    @Override
    public Optional<TableRow> read(String table, String key) {
        beforeCall();
        return Optional.ofNullable(readable().get(rowName(table, key)));
    }

    @Override
    public List<TableRow> scan(String table, String prefix, String afterKey, int limit) {
        beforeCall();
        return readable().tailMap(rowName(table, prefix)).values().stream()
                .filter(r -> r.table().equals(table) && r.key().startsWith(prefix))
                .filter(r -> r.key().compareTo(afterKey) > 0)
                .limit(limit)
                .toList();
    }

    @Override
    public CommitResult commit(List<Mutation> mutations) {
        beforeCall();
        if (fault == StoreFault.THROTTLED) {
            counts.add(fault);
            throw new StorageException(StorageCode.THROTTLED, "injected fault: write rate limit exceeded");
        }
        boolean hit = writes++ / WRITES_PER_BURST % 2 == 0;
        if (hit && fault == StoreFault.REQUEST_LOST) {
            throw outcomeUnknown();
        }
        if (hit && fault == StoreFault.LATE_EFFECT) {
            time.schedule(LATE_EFFECT_MILLIS, () -> apply(mutations));
            throw outcomeUnknown();
        }
        CommitResult result = apply(mutations);
        if (hit && fault == StoreFault.ANSWER_LOST) {
            throw outcomeUnknown();
        }
        return result;
    }

    @Override
    public void put(String key, byte[] content) {
        beforeCall();
        objects.put(key, content);
    }

    @Override
    public byte[] get(String key) {
        beforeCall();
        return Optional.ofNullable(objects.get(key))
                .orElseThrow(() -> new StorageException(StorageCode.NOT_FOUND, key));
    }

    private void beforeCall() {
        if (fault == StoreFault.OUTAGE) {
            counts.add(fault);
            throw new StorageException(StorageCode.UNAVAILABLE, "injected fault: outage");
        }
        if (fault == StoreFault.SLOW) {
            counts.add(fault);
            time.advance(slowCalls++ % 4 == 3 ? VERY_SLOW_CALL_MILLIS : SLOW_CALL_MILLIS);
        }
    }

    private StorageException outcomeUnknown() {
        counts.add(fault);
        return new StorageException(StorageCode.OUTCOME_UNKNOWN, fault.name());
    }

    private NavigableMap<String, TableRow> readable() {
        if (fault != StoreFault.STALE_READS) {
            return rows;
        }
        counts.add(fault);
        return staleRows;
    }

    private CommitResult apply(List<Mutation> mutations) {
        List<TableRow> conflicts = new ArrayList<>();
        for (Mutation m : mutations) {
            TableRow row = current(m);
            if (m.expectedVersion() != Mutation.ANY && row.version() != m.expectedVersion()) {
                conflicts.add(row);
            }
        }
        if (!conflicts.isEmpty()) {
            return CommitResult.conflict(conflicts);
        }
        for (Mutation m : mutations) {
            String name = rowName(m.table(), m.key());
            if (m.value().isEmpty()) {
                rows.remove(name);
            } else {
                long version = current(m).version() + 1;
                rows.put(
                        name,
                        new TableRow(m.table(), m.key(), version, m.value().get()));
            }
        }
        return CommitResult.success();
    }

    private TableRow current(Mutation m) {
        return rows.getOrDefault(rowName(m.table(), m.key()), new TableRow(m.table(), m.key(), Mutation.ABSENT, ""));
    }

    private static String rowName(String table, String key) {
        return table + '/' + key;
    }
}
