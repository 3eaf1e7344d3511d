package org.dragonflygw.core.resume;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;
import org.dragonflygw.core.lease.MonotonicClock;

/**
 * Keeps the software versions of each service in the store, for processes that start. Hosts that read the store for the
 * others write a row as soon as a version comes; the other hosts read the rows once more if a service has several versions,
 * and write them if nobody else does. Calls the store only then, and makes one call at a time. Not thread-safe.
 */
public final class VersionKeeper {
    private static final long NANOS_PER_MS = 1_000_000;

    /** Delay after a failed call. */
    private static final long RETRY_MS = 1_000;

    /** Time from the start in which a host does not write, as it does not know yet which hosts write for the others. */
    private static final long START_MS = 3_000;

    /** Least and greatest time after which a host looks whether another one has written; the writer needs a fraction. */
    private static final long LOOK_MIN_MS = 250;

    private static final long LOOK_MAX_MS = 600;

    /** Least and greatest time after which a host writes for which another one should have written. */
    private static final long TAKE_OVER_MIN_MS = 2_000;

    private static final long TAKE_OVER_MAX_MS = 4_000;

    /** Age of the known rows, in milliseconds, from which they are read again before one is changed. */
    private static final long MAX_ROWS_AGE_MS = 1_000;

    private final SoftwareVersions versions;
    private final BooleanSupplier writer;
    private final VersionStore store;
    private final MonotonicClock clock;
    private final RandomGenerator random;

    /** The rows that name versions, as they were read or written last. */
    private final Map<String, Set<String>> rows = new HashMap<>();

    /** Rows that this process has reduced; a read may still show their former content. */
    private final Set<String> reduced = new HashSet<>();

    private boolean calling;
    private boolean readOnce;
    private boolean readFailed;
    private boolean rowsLost;
    private long era;
    private long firstReadNanos;
    private long lastReadNanos;
    private long notBeforeNanos;
    private boolean waiting;
    private long lookNanos;
    private long takeOverNanos;

    /**
     * Creates a keeper; nothing is read before the first {@link #check}.
     *
     * @param writer whether this host writes for the others
     */
    public VersionKeeper(
            SoftwareVersions versions,
            BooleanSupplier writer,
            VersionStore store,
            MonotonicClock clock,
            RandomGenerator random) {
        this.versions = versions;
        this.writer = writer;
        this.store = store;
        this.clock = clock;
        this.random = random;
        this.notBeforeNanos = clock.nanos();
    }

    /** Reads or writes what is due. Must be called several times a second. */
    public void check() {
        versions.observe();
        long now = clock.nanos();
        if (calling || now - notBeforeNanos < 0) {
            return;
        }
        if (!readOnce || rowsLost) {
            read();
            return;
        }
        boolean writes = writer.getAsBoolean() && now - firstReadNanos >= START_MS * NANOS_PER_MS;
        Map<String, Set<String>> unnamed = versions.unnamed();
        if (!writes) {
            versions.retainAvoided(unnamed.keySet());
        }
        if (unnamed.isEmpty()) {
            waiting = false;
            if (writes) {
                reduceRows(now);
            }
            return;
        }
        if (writes || isTakeOverDue(now)) {
            String service = unnamed.keySet().iterator().next();
            write(new VersionRowKey(service, era).newKey(random.nextLong()), unnamed.get(service));
        } else if (now - lookNanos >= 0) {
            lookNanos = now + randomNanos(LOOK_MIN_MS, LOOK_MAX_MS);
            read();
        }
    }

    private boolean isTakeOverDue(long now) {
        if (!waiting) {
            waiting = true;
            lookNanos = now + randomNanos(LOOK_MIN_MS, LOOK_MAX_MS);
            takeOverNanos = now + randomNanos(TAKE_OVER_MIN_MS, TAKE_OVER_MAX_MS);
        }
        return now - takeOverNanos >= 0;
    }

    private long randomNanos(long minMs, long maxMs) {
        return random.nextLong(minMs, maxMs) * NANOS_PER_MS;
    }

    private void reduceRows(long now) {
        for (Map.Entry<String, Set<String>> row : rows.entrySet()) {
            String service = VersionRowKey.parse(row.getKey()).service();
            Set<String> left = new TreeSet<>(row.getValue());
            left.removeIf(v -> versions.isGone(service, v));
            if (left.equals(row.getValue())) {
                continue;
            }
            if (now - lastReadNanos > MAX_ROWS_AGE_MS * NANOS_PER_MS) {
                read();
                return;
            }
            reduced.add(row.getKey());
            write(row.getKey(), left);
            return;
        }
    }

    private void read() {
        calling = true;
        store.read(this::onRead);
    }

    private void onRead(Optional<StoredVersions> stored) {
        calling = false;
        long now = clock.nanos();
        if (stored.isEmpty()) {
            readFailed = true;
            notBeforeNanos = now + RETRY_MS * NANOS_PER_MS;
            return;
        }
        boolean first = !readOnce;
        if (first) {
            readOnce = true;
            firstReadNanos = now;
        }
        rowsLost = false;
        lastReadNanos = now;
        era = stored.get().era();
        rows.clear();
        stored.get().rows().forEach((key, named) -> onRow(key, named, first));
        if (first) {
            versions.onStoreRead();
        }
    }

    private void onRow(String key, Set<String> named, boolean first) {
        if (named.isEmpty()) {
            return;
        }
        rows.put(key, Set.copyOf(named));
        VersionRowKey parsed = VersionRowKey.parse(key);
        if (first) {
            versions.onPossible(parsed.service(), named);
        }
        if (parsed.era() != era || reduced.contains(key)) {
            return;
        }
        versions.onNamed(parsed.service(), named);
        if (first
                && !readFailed) { // While the store was away, streams may have begun at versions that it does not name.
            versions.onStored(parsed.service(), named);
        }
    }

    private void write(String key, Set<String> named) {
        calling = true;
        store.write(key, named, written -> {
            calling = false;
            if (!written) {
                notBeforeNanos = clock.nanos() + RETRY_MS * NANOS_PER_MS;
                return;
            }
            if (named.isEmpty()) {
                rows.remove(key);
            } else {
                rows.put(key, Set.copyOf(named));
            }
            if (!reduced.contains(key) && !rowsLost) {
                versions.onNamed(VersionRowKey.parse(key).service(), named);
            }
        });
    }

    /** Records that the store came back from a copy, which may lack what was written. */
    public void onNewEra() {
        rowsLost = true;
        versions.onStoreLost();
    }
}
