package org.dragonflygw.bench.fuzz;

import java.time.Instant;
import java.time.InstantSource;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;

/** A clock that moves only when advanced, with a scheduler that runs tasks as they fall due. Not thread-safe. */
public final class VirtualTime implements InstantSource {
    private static final Instant START = Instant.parse("2026-12-03T08:00:00Z");

    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingLong(Task::atMillis).thenComparingLong(Task::number));
    private long nowMillis = START.toEpochMilli();
    private long taskCount;

    @Override
    public Instant instant() {
        return Instant.ofEpochMilli(nowMillis);
    }

    @Override
    public long millis() {
        return nowMillis;
    }

    /** Returns the time as a monotonic clock reading, in nanoseconds. */
    long nanos() {
        return TimeUnit.MILLISECONDS.toNanos(nowMillis);
    }

    /**
     * Schedules a task after a delay in milliseconds; a negative delay counts as 0. Tasks that are due at the same time
     * run in the order of scheduling.
     */
    public void schedule(long delayMillis, Runnable task) {
        tasks.add(new Task(nowMillis + Math.max(0, delayMillis), taskCount++, task));
    }

    /**
     * Advances the clock and runs the tasks that fall due. A task may itself advance the clock to simulate a blocking
     * call.
     */
    public void advance(long millis) {
        long end = nowMillis + millis;
        while (!tasks.isEmpty() && tasks.peek().atMillis() <= end) {
            Task task = tasks.poll();
            nowMillis = Math.max(nowMillis, task.atMillis());
            task.action().run();
        }
        nowMillis = Math.max(nowMillis, end);
    }

    private record Task(long atMillis, long number, Runnable action) {}
}
