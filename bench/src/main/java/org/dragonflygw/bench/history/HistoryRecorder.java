package org.dragonflygw.bench.history;

import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;

/** Records events of concurrent callers, routers and endpoints in one total order. Thread-safe. */
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

    /** Returns a copy of the events recorded so far, in order. */
    public synchronized List<HistoryEntry> entries() {
        return List.copyOf(entries);
    }
}
