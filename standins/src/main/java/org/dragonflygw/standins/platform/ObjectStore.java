package org.dragonflygw.standins.platform;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Objects by key. Safe from every thread. */
final class ObjectStore {
    private final Map<String, byte[]> objects = new HashMap<>();
    private Map<String, byte[]> snapshot;

    synchronized void put(String key, byte[] content) {
        objects.put(key, content);
    }

    synchronized Optional<byte[]> get(String key) {
        return Optional.ofNullable((snapshot == null ? objects : snapshot).get(key));
    }

    /** Answers reads from the present state until {@link #unfreeze}. */
    synchronized void freeze() {
        if (snapshot == null) {
            snapshot = new HashMap<>(objects);
        }
    }

    synchronized void unfreeze() {
        snapshot = null;
    }
}
