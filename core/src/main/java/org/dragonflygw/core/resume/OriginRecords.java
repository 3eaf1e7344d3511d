package org.dragonflygw.core.resume;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** Where the streams of recent attempts began, as this host saw it or was told. Not thread-safe. */
final class OriginRecords {
    /** Time for which a record is kept, in nanoseconds: several times as long as callers take a stream up. */
    private static final long RETENTION_NANOS = 120_000_000_000L;

    /** Maximum number of records, several times those of a busy host; the oldest is dropped first. */
    private static final int MAX_RECORDS = 16_384;

    private final Map<String, Entry> byAttempt = new LinkedHashMap<>();

    private record Entry(StreamOrigin origin, long atNanos) {}

    void put(String attempt, StreamOrigin origin, long nowNanos) {
        byAttempt.remove(attempt);
        byAttempt.put(attempt, new Entry(origin, nowNanos));
        Iterator<Entry> entries = byAttempt.values().iterator();
        while (isDue(entries.next(), nowNanos)) {
            entries.remove();
        }
    }

    /** Returns whether the oldest record is dropped; the newest never is. */
    private boolean isDue(Entry oldest, long nowNanos) {
        return byAttempt.size() > MAX_RECORDS || nowNanos - oldest.atNanos > RETENTION_NANOS;
    }

    Optional<StreamOrigin> get(String attempt) {
        return Optional.ofNullable(byAttempt.get(attempt)).map(Entry::origin);
    }

    int size() {
        return byAttempt.size();
    }
}
