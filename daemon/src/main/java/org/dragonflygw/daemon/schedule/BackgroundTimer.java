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
 * Runs background tasks on daemon threads. An exception of a task is logged and does not end its repetition. Tasks
 * submitted after {@link #close} are dropped. Thread-safe.
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

    /** Runs a task once, after a delay. */
    public void schedule(long delayMillis, Runnable task) {
        try {
            Future<?> scheduled = threads.schedule(() -> runLogged(task), delayMillis, TimeUnit.MILLISECONDS);
            LOG.trace("{}: {}", name, scheduled);
        } catch (RejectedExecutionException e) {
            LOG.debug("{}: task dropped because the timer is closed", name);
        }
    }

    /**
     * Runs a task repeatedly.
     *
     * @param delayMillis asked after each run for the delay until the next one, in milliseconds
     */
    public void scheduleRepeatedly(long firstDelayMillis, LongSupplier delayMillis, Runnable task) {
        schedule(firstDelayMillis, () -> {
            runLogged(task);
            scheduleRepeatedly(delayMillis.getAsLong(), delayMillis, task);
        });
    }

    /** Interrupts running tasks and drops all others. */
    @Override
    public void close() {
        threads.shutdownNow();
    }

    private void runLogged(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOG.error("background task failed: " + name, e);
        }
    }
}
