package org.dragonflygw.edge.soak;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/** Time intervals in which faults were injected. Time bounds are checked only outside them. Thread-safe. */
final class FaultIntervals {
    private final List<Interval> intervals = new CopyOnWriteArrayList<>();

    /** Records the start of a fault; the returned interval is open until {@link Interval#end} is called. */
    Interval begin(String description) {
        Interval interval = new Interval(description, System.nanoTime());
        intervals.add(interval);
        return interval;
    }

    /**
     * Returns whether no fault overlaps a period.
     *
     * @param fromNanos start of the period, from {@link System#nanoTime()}
     * @param untilNanos end of the period
     * @param beforeMs time by which the period is extended before its start, in milliseconds
     */
    boolean noneWithin(long fromNanos, long untilNanos, long beforeMs) {
        long from = fromNanos - TimeUnit.MILLISECONDS.toNanos(beforeMs);
        return intervals.stream().noneMatch(s -> s.startNanos < untilNanos && s.endNanos > from);
    }

    static final class Interval {
        private final String description;
        private final long startNanos;
        private volatile long endNanos = Long.MAX_VALUE;

        private Interval(String description, long startNanos) {
            this.description = description;
            this.startNanos = startNanos;
        }

        void end() {
            endNanos = System.nanoTime();
        }

        @Override
        public String toString() {
            return description;
        }
    }
}
