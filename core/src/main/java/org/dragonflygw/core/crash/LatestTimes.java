package org.dragonflygw.core.crash;

import java.util.LinkedHashMap;
import java.util.Map;

/** The latest time of something for each of a bounded number of keys; the one set first is dropped first. Not thread-safe. */
final class LatestTimes {
    private final int capacity;
    private final Map<Long, Long> nanosByKey = new LinkedHashMap<>();

    /**
     * Creates an empty table.
     *
     * @param capacity maximum number of keys
     */
    LatestTimes(int capacity) {
        this.capacity = capacity;
    }

    /** Sets the time of a key, unless a later one is known. */
    void add(long key, long atNanos) {
        Long known = nanosByKey.remove(key);
        nanosByKey.put(key, known == null ? atNanos : Math.max(known, atNanos));
        if (nanosByKey.size() > capacity) {
            nanosByKey.remove(nanosByKey.keySet().iterator().next());
        }
    }

    /** Returns the latest time of a key, or null if none is known. */
    Long get(long key) {
        return nanosByKey.get(key);
    }
}
