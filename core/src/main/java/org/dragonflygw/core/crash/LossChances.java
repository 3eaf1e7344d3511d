package org.dragonflygw.core.crash;

import java.util.concurrent.TimeUnit;

/**
 * How often prompts of this host were lost lately because their endpoint ended, whatever the reason. It tells how likely a
 * sound part is hit by chance. Not thread-safe.
 */
final class LossChances {
    /** Longer time that is looked back to, in seconds. */
    private static final int WINDOW_S = 10;

    /** Shorter time that is looked back to, in seconds: ends may come in a burst. */
    private static final int BURST_S = 3;

    private static final long BUCKET_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Answered prompts that are assumed beside those counted, so that a few prompts show nothing for certain. */
    private static final double ASSUMED_ANSWERED = 10;

    private final int[] answered = new int[WINDOW_S];
    private final int[] lostBegun = new int[WINDOW_S];
    private final int[] lostUnread = new int[WINDOW_S];
    private long lastBucket = Long.MIN_VALUE;

    /** Records that a prompt was answered, or that its answer went on for a while. */
    void onAnswered(long nowNanos) {
        answered[bucket(nowNanos)]++;
    }

    /**
     * Records that a prompt was lost as its endpoint ended.
     *
     * @param begun whether the response was beginning
     */
    void onLost(boolean begun, long nowNanos) {
        (begun ? lostBegun : lostUnread)[bucket(nowNanos)]++;
    }

    /**
     * Returns the estimated share of prompts that are lost like one, or as it begins, too.
     *
     * @param begun whether the response to that one was beginning
     */
    double chance(boolean begun, long nowNanos) {
        bucket(nowNanos);
        return Math.max(chanceIn(WINDOW_S, begun), chanceIn(BURST_S, begun));
    }

    private double chanceIn(int seconds, boolean begun) {
        double begunCount = sum(lostBegun, seconds);
        double unreadCount = sum(lostUnread, seconds);
        double total = sum(answered, seconds) + begunCount + unreadCount + ASSUMED_ANSWERED;
        return Math.min(1, ((begun ? begunCount : begunCount + unreadCount) + 1) / total);
    }

    private double sum(int[] counts, int seconds) {
        int sum = 0;
        for (int i = 0; i < seconds; i++) {
            sum += counts[Math.floorMod(lastBucket - i, WINDOW_S)];
        }
        return sum;
    }

    /** Returns the index of the current bucket, after the buckets that it replaces were emptied. */
    private int bucket(long nowNanos) {
        long bucket = Math.floorDiv(nowNanos, BUCKET_NANOS);
        if (bucket > lastBucket) {
            long first = Math.max(lastBucket == Long.MIN_VALUE ? bucket : lastBucket + 1, bucket - WINDOW_S + 1);
            for (long b = first; b <= bucket; b++) {
                clear(Math.floorMod(b, WINDOW_S));
            }
            lastBucket = bucket;
        }
        return Math.floorMod(bucket, WINDOW_S);
    }

    private void clear(int index) {
        answered[index] = 0;
        lostBegun[index] = 0;
        lostUnread[index] = 0;
    }
}
