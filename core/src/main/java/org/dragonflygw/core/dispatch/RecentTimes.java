package org.dragonflygw.core.dispatch;

/** The times of the latest events of one kind, such as requests to one endpoint. Not thread-safe. */
final class RecentTimes {
    /** Number of times that are kept. */
    private static final int CAPACITY = 32;

    private final long[] nanos = new long[CAPACITY];
    private int size;
    private int next;

    void add(long nowNanos) {
        nanos[next] = nowNanos;
        next = (next + 1) % CAPACITY;
        size = Math.min(CAPACITY, size + 1);
    }

    /** Returns the number of events after a time, as far as they are kept. */
    int countAfter(long sinceNanos) {
        int count = 0;
        while (count < size && nanos[Math.floorMod(next - 1 - count, CAPACITY)] - sinceNanos > 0) {
            count++;
        }
        return count;
    }
}
