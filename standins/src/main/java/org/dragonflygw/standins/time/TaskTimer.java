package org.dragonflygw.standins.time;

import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/** Runs short tasks later on one daemon thread. */
public final class TaskTimer implements AutoCloseable {
    private final ScheduledThreadPoolExecutor executor;

    /** Starts the thread. */
    public TaskTimer(String name) {
        executor = new ScheduledThreadPoolExecutor(1, task -> {
            Thread thread = new Thread(task, name + "-timer");
            thread.setDaemon(true);
            return thread;
        });
        executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
    }

    /** Runs a task on the thread of the timer as soon as it is free. */
    public void now(Runnable task) {
        executor.execute(task);
    }

    /** Runs a task after a delay; without a delay on the calling thread. */
    public void after(long millis, Runnable task) {
        if (millis <= 0) {
            task.run();
            return;
        }
        executor.schedule(task, millis, TimeUnit.MILLISECONDS).isDone();
    }

    /** Runs a task again and again. */
    public void every(long millis, Runnable task) {
        executor.scheduleAtFixedRate(task, 0, millis, TimeUnit.MILLISECONDS).isDone();
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }
}
