package org.dragonflygw.daemon.schedule;

import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Runs background tasks on daemon threads. A task that throws is logged and does not end its series; tasks given after
 * the close are dropped. Safe from every thread.
 */
public final class BackgroundTimer implements AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(BackgroundTimer.class);

    private final String name;
    private final ScheduledExecutorService threads;

    public BackgroundTimer(String name, int threadCount) {
        this.name = name;
        threads = Executors.newScheduledThreadPool(threadCount, task -> {
            Thread thread = new Thread(task, name);
            thread.setDaemon(true);
            return thread;
        });
    }

    /** Runs a task as soon as a thread is free. */
    public void execute(Runnable task) {
        schedule(0, task);
    }

    /** Runs a task once after a time. */
    public void schedule(long delayMillis, Runnable task) {
        try {
            Future<?> scheduled = threads.schedule(() -> guarded(task), delayMillis, TimeUnit.MILLISECONDS);
            LOG.trace("{}: {}", name, scheduled);
        } catch (RejectedExecutionException e) {
            LOG.debug("{}: task dropped after the close", name);
        }
    }

    /** Runs a task again and again, each time after the time that is then asked for. */
    public void scheduleRepeatedly(long firstDelayMillis, LongSupplier delayMillis, Runnable task) {
        schedule(firstDelayMillis, () -> {
            guarded(task);
            scheduleRepeatedly(delayMillis.getAsLong(), delayMillis, task);
        });
    }

    /** Stops all tasks. */
    @Override
    public void close() {
        threads.shutdownNow();
    }

    private void guarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOG.error("background task failed: " + name, e);
        }
    }
}
