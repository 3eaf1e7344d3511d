package org.dragonflygw.core.exchange;

import java.util.ArrayList;
import java.util.List;

/**
 * The attempts of one request that may still be answered, in the order in which they were sent. All but the newest are at
 * silent endpoints. Not thread-safe.
 */
final class OpenAttempts {
    /**
     * Time after the head of a response within which its first part is due, in nanoseconds. Then the silent attempts before it
     * are given up, since two engines must not work on one stream for long.
     */
    private static final long FIRST_PART_NANOS = 300_000_000L;

    private final List<EndpointAttempt> attempts = new ArrayList<>(1);

    boolean isEmpty() {
        return attempts.isEmpty();
    }

    int size() {
        return attempts.size();
    }

    EndpointAttempt newest() {
        return attempts.get(attempts.size() - 1);
    }

    void add(EndpointAttempt attempt) {
        attempts.add(attempt);
    }

    /** Removes an attempt; returns whether it was the newest. */
    boolean remove(EndpointAttempt attempt) {
        boolean newest = attempt == newest();
        attempts.remove(attempt);
        return newest;
    }

    /** Removes and returns all attempts but one, which may have just ended. */
    List<EndpointAttempt> removeAllBut(EndpointAttempt kept) {
        List<EndpointAttempt> others = removeAll();
        others.remove(kept);
        attempts.add(kept);
        return others;
    }

    /** Removes and returns all attempts. */
    List<EndpointAttempt> removeAll() {
        List<EndpointAttempt> removed = new ArrayList<>(attempts);
        attempts.clear();
        return removed;
    }

    /** Returns when the silent attempts are to be given up for the newest, whose response has begun. */
    long handoverNanos() {
        boolean begun = attempts.size() > 1 && newest().headNanos() != 0;
        return begun ? newest().headNanos() + FIRST_PART_NANOS : Long.MAX_VALUE;
    }

    /** Returns when the first response counts as stalled; see {@link #checkStalls}. */
    long stallNanos() {
        long earliest = Long.MAX_VALUE;
        for (EndpointAttempt a : attempts) {
            earliest = Math.min(earliest, a.stallNanos());
        }
        return earliest;
    }

    /** Records the responses that are stalled now, whose endpoints may have ended without a reset. */
    void checkStalls(long now) {
        attempts.forEach(a -> a.checkStall(now));
    }

    /** Stops reading the responses while the caller reads slowly. */
    void pause() {
        attempts.forEach(a -> a.setAutoRead(false));
    }

    /** Reads the responses on; the endpoints count as silent from now at the earliest. */
    void resume(long now) {
        for (EndpointAttempt a : attempts) {
            a.setAutoRead(true);
            a.silence().restart(now);
        }
    }
}
