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
 * Threads that send the transactions of a {@link GroupCommitter}, at most one transaction per interval. The thread that
 * holds the {@code leader} lock waits for writes and for the interval to pass. It releases the lock before it sends, so
 * that the next thread can wait meanwhile.
 *
 * <p>Lock order: {@code leader}, then {@code signal}, then the committer.
 */
public final class CommitWorkers implements Managed {
    private static final int THREADS = 4;
    private static final long POLL_INTERVAL_MILLIS = 50;
    private static final long STOP_TIMEOUT_MILLIS = 5_000;

    private final ReentrantLock leader = new ReentrantLock();
    private final ReentrantLock signal = new ReentrantLock();
    private final Condition written = signal.newCondition();
    private final List<Thread> threads = new ArrayList<>();
    private final long intervalNanos;
    private final GroupCommitter committer;
    private long nextFlushNanos;
    private volatile boolean stopped;

    /**
     * Creates the workers and their committer.
     *
     * @param intervalMillis minimum time between the starts of two transactions, in milliseconds
     */
    public CommitWorkers(TableStore store, InstantSource clock, CommitLimits limits, long intervalMillis) {
        this.intervalNanos = TimeUnit.MILLISECONDS.toNanos(intervalMillis);
        this.committer = new GroupCommitter(store, clock, limits, this::wake);
    }

    /** The committer whose transactions these workers send. */
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

    /** Sends the queued writes, for at most 5 s, and ends the threads. */
    @Override
    public void stop() throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(STOP_TIMEOUT_MILLIS);
        while (committer.queued() > 0 && System.nanoTime() < deadlineNanos) {
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
        stopped = true;
        for (Thread thread : threads) {
            thread.join(TimeUnit.NANOSECONDS.toMillis(Math.max(1_000_000, deadlineNanos - System.nanoTime())));
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
                    boolean signalled = written.await(POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
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
