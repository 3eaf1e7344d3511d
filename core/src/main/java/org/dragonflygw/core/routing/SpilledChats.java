package org.dragonflygw.core.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Records, at the steward of a chat's first candidate, the engine to which the chat was spilled, so that the next turn
 * finds the cache through any router. Bounded: the least recently used chat is evicted first. Not thread safe; guarded
 * by the owner.
 */
final class SpilledChats {
    private final int capacity;
    private final Duration retention;
    private final LinkedHashMap<Long, Spill> spills = new LinkedHashMap<>(16, 0.75f, true);

    SpilledChats(int capacity, Duration retention) {
        this.capacity = capacity;
        this.retention = retention;
    }

    void put(long chatHash, String endpointId, Instant now) {
        spills.put(chatHash, new Spill(endpointId, now.plus(retention)));
        if (spills.size() > capacity) {
            Map.Entry<Long, Spill> eldest = spills.entrySet().iterator().next();
            spills.remove(eldest.getKey());
        }
    }

    Optional<String> find(long chatHash, Instant now) {
        Spill spill = spills.get(chatHash);
        if (spill == null) {
            return Optional.empty();
        }
        if (spill.expiry().isBefore(now)) {
            spills.remove(chatHash);
            return Optional.empty();
        }
        return Optional.of(spill.endpointId());
    }

    void remove(long chatHash) {
        spills.remove(chatHash);
    }

    int size() {
        return spills.size();
    }

    private record Spill(String endpointId, Instant expiry) {}
}
