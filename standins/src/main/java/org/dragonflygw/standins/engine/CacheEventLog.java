package org.dragonflygw.standins.engine;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** The last cache events of an engine, shown late and with some of them lost. Safe from every thread. */
final class CacheEventLog {
    private static final int MAX_EVENTS = 10_000;

    private final InstantSource clock;
    private final Duration lag;
    private final int gapEvery;
    private final ArrayDeque<Entry> entries = new ArrayDeque<>();
    private long sequence;

    /**
     * Makes an empty log.
     *
     * @param clock time source
     * @param lag time until an event is shown
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
        Instant visible = clock.instant().minus(lag);
        List<CacheEvent> shown = new ArrayList<>();
        long last = afterSequence;
        boolean gap = false;
        for (Entry entry : entries) {
            long number = entry.event().sequence();
            if (number <= afterSequence) {
                continue;
            }
            if (entry.at().isAfter(visible)) {
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
     * Events in order.
     *
     * @param from first sequence number that was asked for
     * @param last last sequence number covered; the next call asks for events after it
     * @param gap whether events in between were lost
     * @param events events that were not lost
     */
    record Page(long from, long last, boolean gap, List<CacheEvent> events) {}

    private record Entry(CacheEvent event, Instant at, boolean lost) {}
}
