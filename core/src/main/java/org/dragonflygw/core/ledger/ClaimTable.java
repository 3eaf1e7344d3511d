package org.dragonflygw.core.ledger;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The claims of one daemon, at most one for each key. Safe from every thread; the monitor of this object is a leaf.
 *
 * @param <T> what holds a key
 */
final class ClaimTable<T> {
    private final Map<String, T> holders = new HashMap<>();
    private final int capacity;

    ClaimTable(int capacity) {
        this.capacity = capacity;
    }

    /** Lets the candidate hold a free key. Returns who holds it now; empty when the table is full. */
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

    /** Frees a key if the given holder has it. */
    synchronized boolean release(String key, T holder) {
        return holders.remove(key, holder);
    }

    synchronized int size() {
        return holders.size();
    }
}
