package org.dragonflygw.bench.fuzz;

import java.time.Instant;
import java.time.InstantSource;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;

/** A clock that stands still until it is advanced, with the tasks that are due on the way. For one thread. */
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

    /** A monotonic clock, in nanoseconds. */
    long nanos() {
        return TimeUnit.MILLISECONDS.toNanos(nowMillis);
    }

    /** Runs a task after the delay. */
    public void schedule(long delayMillis, Runnable task) {
        tasks.add(new Task(nowMillis + Math.max(0, delayMillis), taskCount++, task));
    }

    /** Moves the clock on and runs what is due; a task may advance the clock itself, as one that blocks does. */
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
