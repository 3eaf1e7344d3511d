package org.dragonflygw.bench.history;

import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;

/** Records events from concurrent callers, routers and endpoints in one order. Safe from every thread. */
public final class HistoryRecorder {
    private final InstantSource clock;
    private final List<HistoryEntry> entries = new ArrayList<>();

    public HistoryRecorder(InstantSource clock) {
        this.clock = clock;
    }

    /** Records an event that happens now. */
    public void record(HistoryEvent event) {
        recordAt(clock.millis(), event);
    }

    /** Records an event that happened at the given time, in milliseconds since the epoch. */
    public synchronized void recordAt(long atMillis, HistoryEvent event) {
        entries.add(new HistoryEntry(entries.size(), atMillis, event));
    }

    /** What was recorded so far. */
    public synchronized List<HistoryEntry> entries() {
        return List.copyOf(entries);
    }
}
