package org.dragonflygw.standins.engine;

import java.util.OptionalLong;
import java.util.concurrent.locks.LockSupport;
import org.dragonflygw.standins.time.MonotonicClock;

/**
 * The single thread that generates the tokens of an engine and notifies their senders. Tokens that are due within half
 * a millisecond of one another are generated in one round.
 */
final class Ticker implements AutoCloseable {
    private static final long MIN_SLEEP_NANOS = 500_000;
    private static final long MAX_SLEEP_NANOS = 100_000_000;

    private final EngineCore core;
    private final Thread thread;
    private volatile boolean closed;

    Ticker(String name, EngineCore core) {
        this.core = core;
        this.thread = new Thread(this::run, name + "-ticker");
        this.thread.setDaemon(true);
    }

    void start() {
        thread.start();
    }

    /** Wakes the thread, since a new stream may be due before all others. */
    void wake() {
        LockSupport.unpark(thread);
    }

    @Override
    public void close() {
        closed = true;
        wake();
    }

    private void run() {
        while (!closed) {
            for (EngineStream stream : core.advance(MonotonicClock.nanos())) {
                stream.notifySender();
            }
            LockSupport.parkNanos(this, sleepNanos());
        }
    }

    private long sleepNanos() {
        OptionalLong due = core.nextDueNanos();
        if (due.isEmpty()) {
            return MAX_SLEEP_NANOS;
        }
        return Math.max(MIN_SLEEP_NANOS, Math.min(MAX_SLEEP_NANOS, due.getAsLong() - MonotonicClock.nanos()));
    }
}
