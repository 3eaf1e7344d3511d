package org.dragonflygw.core.exchange;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Counts requests that reach engines over the allowed multiple of the mean load of their service, in windows of five
 * seconds that slide from request to request.
 */
final class LoadLimitCounter {
    private static final long WINDOW_MS = 5_000;
    private static final double CAP_FACTOR = 2;
    private static final double CAP_SLACK = 3;
    private static final int MIN_OVER = 20;
    private static final double MAX_SHARE = 0.03;

    private final Deque<Arrival> window = new ArrayDeque<>();
    private int overInWindow;
    private int over;
    private int total;
    private double largestShare;
    private int mostInWindow;
    private boolean broken;

    private record Arrival(long atMs, boolean over) {}

    /**
     * Records a request that reaches an engine.
     *
     * @param load requests that the engine holds
     * @param mean mean load of the engines of the service
     */
    void onArrival(long atMs, int load, double mean) {
        boolean isOver = load > CAP_FACTOR * mean + CAP_SLACK;
        window.addLast(new Arrival(atMs, isOver));
        overInWindow += isOver ? 1 : 0;
        while (atMs - window.peekFirst().atMs >= WINDOW_MS) {
            overInWindow -= window.removeFirst().over ? 1 : 0;
        }
        total++;
        over += isOver ? 1 : 0;
        double share = overInWindow / (double) window.size();
        if (overInWindow >= MIN_OVER) {
            largestShare = Math.max(largestShare, share);
            broken |= share > MAX_SHARE;
        }
        mostInWindow = Math.max(mostInWindow, overInWindow);
    }

    /** Returns whether the limit was broken in some window. */
    boolean isBroken() {
        return broken;
    }

    /** Returns the largest share in a window with as many requests over the bound as break the limit. */
    double largestShare() {
        return largestShare;
    }

    /** Returns the most requests over the bound in one window. */
    int mostInWindow() {
        return mostInWindow;
    }

    /** Returns the share of all requests that reached an engine over the bound. */
    double share() {
        return total == 0 ? 0 : over / (double) total;
    }
}
