package org.dragonflygw.daemon.ledger;

import io.dropwizard.lifecycle.Managed;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import org.dragonflygw.core.ledger.CommitLimits;
import org.dragonflygw.core.ledger.GroupCommitter;
import org.dragonflygw.core.storage.TableStore;

/**
 * Threads that send the transactions of a {@link GroupCommitter}, at most one in each interval. One of them leads: it
 * waits for writes and for the interval to pass; while it sends, the next one leads.
 *
 * <p>Lock order: {@code leader}, then {@code signal}, then the committer.
 */
public final class CommitWorkers implements Managed {
    private static final int THREADS = 4;
    private static final long IDLE_MILLIS = 50;
    private static final long STOP_MILLIS = 5_000;

    private final ReentrantLock leader = new ReentrantLock();
    private final ReentrantLock signal = new ReentrantLock();
    private final Condition written = signal.newCondition();
    private final List<Thread> threads = new ArrayList<>();
    private final long intervalNanos;
    private final GroupCommitter committer;
    private long nextFlushNanos;
    private volatile boolean stopped;

    /** Makes workers with a committer of their own that sends at most one transaction in each interval. */
    public CommitWorkers(TableStore store, InstantSource clock, CommitLimits limits, long intervalMillis) {
        this.intervalNanos = TimeUnit.MILLISECONDS.toNanos(intervalMillis);
        this.committer = new GroupCommitter(store, clock, limits, this::wake);
    }

    /** The committer that these workers serve. */
    public GroupCommitter committer() {
        return committer;
    }

    private void wake() {
        signal.lock();
        try {
            written.signal();
        } finally {
            signal.unlock();
        }
    }

    @Override
    public void start() {
        for (int i = 1; i <= THREADS; i++) {
            Thread thread = new Thread(this::work, "ledger-commit-" + i);
            thread.setDaemon(true);
            threads.add(thread);
            thread.start();
        }
    }

    /** Sends what is queued, within a bounded time, and ends the threads. */
    @Override
    public void stop() throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(STOP_MILLIS);
        while (committer.queued() > 0 && System.nanoTime() < end) {
            Thread.sleep(IDLE_MILLIS);
        }
        stopped = true;
        for (Thread thread : threads) {
            thread.join(TimeUnit.NANOSECONDS.toMillis(Math.max(1_000_000, end - System.nanoTime())));
        }
    }

    private void work() {
        while (!stopped) {
            try {
                leader.lockInterruptibly();
                try {
                    awaitWrites();
                    awaitInterval();
                } finally {
                    leader.unlock();
                }
                committer.flush();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private void awaitWrites() throws InterruptedException {
        while (committer.queued() == 0 && !stopped) {
            signal.lock();
            try {
                if (committer.queued() == 0) {
                    boolean signalled = written.await(IDLE_MILLIS, TimeUnit.MILLISECONDS);
                    if (!signalled && stopped) {
                        return;
                    }
                }
            } finally {
                signal.unlock();
            }
        }
    }

    private void awaitInterval() throws InterruptedException {
        long wait = nextFlushNanos - System.nanoTime();
        if (wait > 0) {
            TimeUnit.NANOSECONDS.sleep(wait);
        }
        nextFlushNanos = System.nanoTime() + intervalNanos;
    }
}
