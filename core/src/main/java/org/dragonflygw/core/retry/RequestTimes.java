package org.dragonflygw.core.retry;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Times of the requests that a retry budget is a ratio of. The budget counts, for each window of retries, the requests
 * of that window, of the one before it or of the one half a window before it, whichever has most. A retry belongs to
 * every window that includes it, so it is decided by the window that counts least. Not thread-safe.
 */
final class RequestTimes {
    /** Parts of a window to which its start is rounded. */
    private static final int BUCKETS_PER_WINDOW = 40;

    private static final int BUCKETS_PER_HALF = BUCKETS_PER_WINDOW / 2;

    /** The window before the oldest one that includes the present starts two windows ago. */
    private static final int KEPT_WINDOWS = 2;

    private final Deque<Long> times = new ArrayDeque<>();

    /** Records a request; times must not decrease. */
    void add(long nowNanos, long windowNanos) {
        expire(nowNanos, windowNanos);
        times.addLast(nowNanos);
    }

    private void expire(long nowNanos, long windowNanos) {
        long oldest = nowNanos - KEPT_WINDOWS * windowNanos;
        while (!times.isEmpty() && times.peekFirst() - oldest < 0) {
            times.removeFirst();
        }
    }

    /** Returns a number of requests that is counted for every window of retries that includes the present. */
    int leastCounted(long nowNanos, long windowNanos) {
        int[] newest = newestCounts(nowNanos, windowNanos);
        int least = Integer.MAX_VALUE;
        for (int age = 0; age < BUCKETS_PER_WINDOW; age++) {
            least = Math.min(least, counted(newest, age));
        }
        return least;
    }

    /** Returns how many requests came in the newest buckets, indexed by the number of buckets. */
    private int[] newestCounts(long nowNanos, long windowNanos) {
        int[] counts = new int[KEPT_WINDOWS * BUCKETS_PER_WINDOW + 1];
        for (long time : times) {
            long bucket = (nowNanos - time) * BUCKETS_PER_WINDOW / windowNanos;
            if (bucket < counts.length - 1) {
                counts[(int) bucket + 1]++;
            }
        }
        for (int i = 1; i < counts.length; i++) {
            counts[i] += counts[i - 1];
        }
        return counts;
    }

    /** Returns the requests counted for any window that started between {@code age} and one more buckets ago. */
    private static int counted(int[] newest, int age) {
        int inWindow = newest[age];
        int halfBefore = newest[age + BUCKETS_PER_HALF] - newest[Math.max(0, age + 1 - BUCKETS_PER_HALF)];
        int before = newest[age + BUCKETS_PER_WINDOW] - newest[age + 1];
        return Math.max(inWindow, Math.max(halfBefore, before));
    }
}
