package org.dragonflygw.standins.time;

import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/** Runs short tasks, immediately or delayed, on one daemon thread. */
public final class TaskTimer implements AutoCloseable {
    private final ScheduledThreadPoolExecutor executor;

    /** Starts the thread, named after the given name with the suffix {@code -timer}. */
    public TaskTimer(String name) {
        executor = new ScheduledThreadPoolExecutor(1, task -> {
            Thread thread = new Thread(task, name + "-timer");
            thread.setDaemon(true);
            return thread;
        });
        executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
    }

    /** Queues a task on the timer thread without delay. */
    public void now(Runnable task) {
        executor.execute(task);
    }

    /** Runs a task on the timer thread after a delay, or directly on the calling thread when the delay is 0 or less. */
    public void after(long millis, Runnable task) {
        if (millis <= 0) {
            task.run();
            return;
        }
        executor.schedule(task, millis, TimeUnit.MILLISECONDS).isDone();
    }

    /** Runs a task now and then periodically, with the given period in milliseconds. */
    public void every(long millis, Runnable task) {
        executor.scheduleAtFixedRate(task, 0, millis, TimeUnit.MILLISECONDS).isDone();
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }
}
