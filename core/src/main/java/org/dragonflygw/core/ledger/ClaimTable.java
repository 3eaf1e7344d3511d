package org.dragonflygw.core.ledger;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Bounded table of the claims of one daemon, with at most one holder for each key. Thread-safe; the monitor of this
 * object is a leaf in the lock order.
 *
 * @param <T> type of the holders
 */
final class ClaimTable<T> {
    private final Map<String, T> holders = new HashMap<>();
    private final int capacity;

    ClaimTable(int capacity) {
        this.capacity = capacity;
    }

    /** Gives a free key to the candidate. Returns the holder of the key; empty if it is free but the table is full. */
    synchronized Optional<T> acquire(String key, T candidate) {
        T holder = holders.get(key);
        if (holder != null) {
            return Optional.of(holder);
        }
        if (holders.size() >= capacity) {
            return Optional.empty();
        }
        holders.put(key, candidate);
        return Optional.of(candidate);
    }

    /** Releases a key if the given holder has it; returns whether it did. */
    synchronized boolean release(String key, T holder) {
        return holders.remove(key, holder);
    }

    synchronized int size() {
        return holders.size();
    }
}
