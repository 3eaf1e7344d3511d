package org.dragonflygw.edge.log;

import org.dragonflygw.core.log.EventLog;
import org.dragonflygw.core.log.LogTopic;

/**
 * Runs a task and logs an unexpected error instead of passing it on. The event loop ends a periodic task that throws an
 * exception, without a trace.
 */
public final class GuardedTask implements Runnable {
    private final String name;
    private final Runnable task;
    private final EventLog log;

    /**
     * Creates a task.
     *
     * @param name name of the task in the log
     */
    public GuardedTask(String name, Runnable task, EventLog log) {
        this.name = name;
        this.task = task;
        this.log = log;
    }

    @Override
    public void run() {
        try {
            task.run();
        } catch (RuntimeException e) {
            log.line(LogTopic.INTERNAL_ERROR)
                    .with("task", name)
                    .with("reason", e.toString())
                    .end();
        }
    }
}
