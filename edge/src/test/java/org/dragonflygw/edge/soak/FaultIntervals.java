package org.dragonflygw.edge.soak;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/** When something was disturbed, so that promises with a time bound are only checked where they hold. */
final class FaultIntervals {
    private final List<Interval> intervals = new CopyOnWriteArrayList<>();

    /** Notes the begin of a disturbance; the returned span is open until it is closed. */
    Interval begin(String what) {
        Interval span = new Interval(what, System.nanoTime());
        intervals.add(span);
        return span;
    }

    /** Whether nothing was disturbed from some time before a moment until some other. */
    boolean noneWithin(long fromNanos, long untilNanos, long beforeMs) {
        long from = fromNanos - TimeUnit.MILLISECONDS.toNanos(beforeMs);
        return intervals.stream().noneMatch(s -> s.startNanos < untilNanos && s.endNanos > from);
    }

    static final class Interval {
        private final String what;
        private final long startNanos;
        private volatile long endNanos = Long.MAX_VALUE;

        private Interval(String what, long startNanos) {
            this.what = what;
            this.startNanos = startNanos;
        }

        void end() {
            endNanos = System.nanoTime();
        }

        @Override
        public String toString() {
            return what;
        }
    }
}
