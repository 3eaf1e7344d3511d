package org.dragonflygw.bench.fuzz;

import java.util.Map;
import java.util.TreeMap;

/** Counts how often each kind of fault affected a call. Not thread-safe. */
public final class FaultCounts {
    private final Map<String, Long> hits = new TreeMap<>();

    /** Counts one affected call. */
    public void add(Enum<?> kind) {
        hits.merge(kind.getDeclaringClass().getSimpleName() + '.' + kind.name(), 1L, Long::sum);
    }

    /** Adds the counts of another run. */
    public void addAll(FaultCounts other) {
        other.hits.forEach((kind, count) -> hits.merge(kind, count, Long::sum));
    }

    /** Returns the number of affected calls by fault, named {@code EnumType.CONSTANT}. */
    public Map<String, Long> hits() {
        return Map.copyOf(hits);
    }
}
