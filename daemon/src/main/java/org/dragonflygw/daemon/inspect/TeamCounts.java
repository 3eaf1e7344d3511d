package org.dragonflygw.daemon.inspect;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.SlidingTimeWindowArrayReservoir;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;

/** Counts of the requests of one team on this daemon. Thread-safe. */
final class TeamCounts {
    /** Counts of a team without requests. */
    static final TeamCounts NONE = new TeamCounts();

    private static final long WINDOW_SECONDS = 60;
    private static final double P95 = 0.95;

    private final LongAdder accepted = new LongAdder();
    private final LongAdder completed = new LongAdder();
    private final LongAdder refused = new LongAdder();
    private final LongAdder failed = new LongAdder();
    private final LongAdder cancelled = new LongAdder();
    private final Histogram firstToken =
            new Histogram(new SlidingTimeWindowArrayReservoir(WINDOW_SECONDS, TimeUnit.SECONDS));

    void accepted() {
        accepted.increment();
    }

    void completed() {
        completed.increment();
    }

    void refused() {
        refused.increment();
    }

    void failed() {
        failed.increment();
    }

    void cancelled() {
        cancelled.increment();
    }

    void firstToken(long millis) {
        firstToken.update(millis);
    }

    long acceptedCount() {
        return accepted.sum();
    }

    long refusedCount() {
        return refused.sum();
    }

    long failedCount() {
        return failed.sum();
    }

    long openCount() {
        return accepted.sum() - completed.sum() - refused.sum() - failed.sum() - cancelled.sum();
    }

    /** 95th percentile of the time to the first token over the last 60 s, in milliseconds. */
    double firstTokenP95Millis() {
        return firstToken.getSnapshot().getValue(P95);
    }
}
