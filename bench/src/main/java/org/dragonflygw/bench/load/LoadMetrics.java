package org.dragonflygw.bench.load;

import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** What was seen at one target. Safe from every thread. */
final class LoadMetrics {
    private static final long MAX_MICROS = 600_000_000;
    private static final int DIGITS = 3;
    private static final int MAX_CAUSES = 10;
    private static final int NANOS_PER_MICRO = 1000;

    private final Histogram firstTokenMicros = new ConcurrentHistogram(MAX_MICROS, DIGITS);
    private final Histogram tokenGapMicros = new ConcurrentHistogram(MAX_MICROS, DIGITS);
    private final LongAdder tokens = new LongAdder();
    private final LongAdder whole = new LongAdder();
    private final LongAdder failed = new LongAdder();
    private final Queue<String> causes = new ConcurrentLinkedQueue<>();
    private final AtomicInteger open = new AtomicInteger();
    private final AtomicInteger mostOpen = new AtomicInteger();

    void started() {
        mostOpen.accumulateAndGet(open.incrementAndGet(), Math::max);
    }

    void ended(boolean wholeAnswer) {
        (wholeAnswer ? whole : failed).increment();
        open.decrementAndGet();
    }

    /** A request ended without an answer; the first causes are kept for the reader of a result. */
    void failed(Exception cause) {
        if (causes.size() < MAX_CAUSES) {
            causes.add(cause.toString());
        }
        ended(false);
    }

    void firstToken(long nanos) {
        firstTokenMicros.recordValue(clamp(nanos));
    }

    void tokenGap(long nanos) {
        tokenGapMicros.recordValue(clamp(nanos));
    }

    void tokens(int count) {
        tokens.add(count);
    }

    Histogram firstTokenMicros() {
        return firstTokenMicros;
    }

    Histogram tokenGapMicros() {
        return tokenGapMicros;
    }

    long tokenCount() {
        return tokens.sum();
    }

    long completeCount() {
        return whole.sum();
    }

    long failedCount() {
        return failed.sum();
    }

    /** Causes of the first failed requests. */
    List<String> causes() {
        return List.copyOf(causes);
    }

    int openCount() {
        return open.get();
    }

    int maxOpenCount() {
        return mostOpen.get();
    }

    private static long clamp(long nanos) {
        return Math.max(0, Math.min(MAX_MICROS, nanos / NANOS_PER_MICRO));
    }
}
