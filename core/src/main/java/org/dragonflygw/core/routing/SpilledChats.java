package org.dragonflygw.core.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Remembers, at the steward of a chat's first engine, to which engine the chat was spilled, so that its next turn finds
 * the cache through every router. Bounded: the chat that was used longest ago is forgotten first. Not thread safe; the
 * owner guards it.
 */
final class SpilledChats {
    private final int capacity;
    private final Duration keep;
    private final LinkedHashMap<Long, Spill> spills = new LinkedHashMap<>(16, 0.75f, true);

    SpilledChats(int capacity, Duration keep) {
        this.capacity = capacity;
        this.keep = keep;
    }

    void put(long chatHash, String endpointId, Instant now) {
        spills.put(chatHash, new Spill(endpointId, now.plus(keep)));
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
        if (spill.until().isBefore(now)) {
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

    private record Spill(String endpointId, Instant until) {}
}
