package org.dragonflygw.bench.fuzz;

import java.util.Map;
import java.util.TreeMap;

/** Counts how often each kind of fault hit something. For one thread. */
public final class FaultCounts {
    private final Map<String, Long> hits = new TreeMap<>();

    /** Counts one hit. */
    public void add(Enum<?> kind) {
        hits.merge(kind.getDeclaringClass().getSimpleName() + '.' + kind.name(), 1L, Long::sum);
    }

    /** Adds the counts of another run. */
    public void addAll(FaultCounts other) {
        other.hits.forEach((kind, count) -> hits.merge(kind, count, Long::sum));
    }

    /** Hits of each kind, by name. */
    public Map<String, Long> hits() {
        return Map.copyOf(hits);
    }
}
