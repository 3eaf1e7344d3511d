package org.dragonflygw.bench.peers;

import java.util.EnumMap;
import java.util.Map;
import java.util.function.Supplier;

/** Time spent on each kind of work with reports. Not thread-safe. */
final class ReportCosts {
    /** Kinds of work. */
    enum Work {
        /** Deciding what to send, and bringing the loads of endpoints up to date. */
        ROUND,
        ENCODE,
        DECODE,
        APPLY
    }

    private final Map<Work, Long> nanos = new EnumMap<>(Work.class);
    private final Map<Work, Long> counts = new EnumMap<>(Work.class);

    <T> T time(Work work, Supplier<T> task) {
        long start = System.nanoTime();
        T result = task.get();
        nanos.merge(work, System.nanoTime() - start, Long::sum);
        counts.merge(work, 1L, Long::sum);
        return result;
    }

    long nanos(Work work) {
        return nanos.getOrDefault(work, 0L);
    }

    long count(Work work) {
        return counts.getOrDefault(work, 0L);
    }

    void clear() {
        nanos.clear();
        counts.clear();
    }
}
