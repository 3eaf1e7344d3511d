package org.dragonflygw.core.exchange;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The times at which requests reached simulated engines, from all hosts. */
final class EngineArrivals {
    private final Map<Integer, List<Long>> timesMs = new HashMap<>();

    void add(int engine, long atMs) {
        timesMs.computeIfAbsent(engine, e -> new ArrayList<>()).add(atMs);
    }

    /** Returns how many requests reached an engine in a period. */
    long count(int engine, long fromMs, long untilMs) {
        return between(engine, fromMs, untilMs).size();
    }

    /** Returns the most requests that reached an engine in any window of a length within a period. */
    int mostInWindow(int engine, long windowMs, long fromMs, long untilMs) {
        List<Long> times = between(engine, fromMs, untilMs);
        int most = 0;
        int first = 0;
        for (int last = 0; last < times.size(); last++) {
            while (times.get(last) - times.get(first) >= windowMs) {
                first++;
            }
            most = Math.max(most, last - first + 1);
        }
        return most;
    }

    private List<Long> between(int engine, long fromMs, long untilMs) {
        return timesMs.getOrDefault(engine, List.of()).stream()
                .filter(t -> t >= fromMs && t < untilMs)
                .toList();
    }
}
