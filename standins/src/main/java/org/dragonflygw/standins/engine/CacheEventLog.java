package org.dragonflygw.standins.engine;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** The last cache events of an engine. Readers see events with a lag and with some events missing. Thread-safe. */
final class CacheEventLog {
    private static final int MAX_EVENTS = 10_000;

    private final InstantSource clock;
    private final Duration lag;
    private final int gapEvery;
    private final ArrayDeque<Entry> entries = new ArrayDeque<>();
    private long sequence;

    /**
     * Creates an empty log.
     *
     * @param clock time source
     * @param lag time until readers see an event
     * @param gapEvery each nth event is lost; 0 for none
     */
    CacheEventLog(InstantSource clock, Duration lag, int gapEvery) {
        this.clock = clock;
        this.lag = lag;
        this.gapEvery = gapEvery;
    }

    synchronized void add(String action, String prefix) {
        sequence++;
        boolean lost = gapEvery > 0 && sequence % gapEvery == 0;
        entries.addLast(new Entry(new CacheEvent(sequence, action, prefix), clock.instant(), lost));
        if (entries.size() > MAX_EVENTS) {
            entries.removeFirst();
        }
    }

    synchronized Page after(long afterSequence) {
        Instant visibleUntil = clock.instant().minus(lag);
        List<CacheEvent> shown = new ArrayList<>();
        long last = afterSequence;
        boolean gap = false;
        for (Entry entry : entries) {
            long number = entry.event().sequence();
            if (number <= afterSequence) {
                continue;
            }
            if (entry.at().isAfter(visibleUntil)) {
                break;
            }
            gap |= entry.lost() || number != last + 1;
            last = number;
            if (!entry.lost()) {
                shown.add(entry.event());
            }
        }
        return new Page(afterSequence + 1, last, gap, shown);
    }

    synchronized void clear() {
        entries.clear();
        sequence = 0;
    }

    /**
     * A page of events in order of their sequence numbers.
     *
     * @param from first requested sequence number
     * @param last last sequence number covered; the next call requests the events after this number
     * @param gap whether events between {@code from} and {@code last} are missing
     * @param events events that are not missing
     */
    record Page(long from, long last, boolean gap, List<CacheEvent> events) {}

    private record Entry(CacheEvent event, Instant at, boolean lost) {}
}
