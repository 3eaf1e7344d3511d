package org.dragonflygw.standins.platform;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** In-memory object store. Thread-safe. */
final class ObjectService {
    private final Map<String, byte[]> objects = new HashMap<>();
    private Map<String, byte[]> snapshot;

    synchronized void put(String key, byte[] content) {
        objects.put(key, content);
    }

    synchronized Optional<byte[]> get(String key) {
        return Optional.ofNullable((snapshot == null ? objects : snapshot).get(key));
    }

    /** Serves all reads from a snapshot of the current state until {@link #unfreeze} is called. */
    synchronized void freeze() {
        if (snapshot == null) {
            snapshot = new HashMap<>(objects);
        }
    }

    synchronized void unfreeze() {
        snapshot = null;
    }
}
