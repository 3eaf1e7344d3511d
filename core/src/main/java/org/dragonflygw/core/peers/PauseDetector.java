package org.dragonflygw.core.peers;

/**
 * Tells which messages may have waited for this process while it was paused, by the rounds of a timer that are late. Not
 * thread-safe.
 */
public final class PauseDetector {
    /** Time between two rounds, in nanoseconds, above which the process was paused: several intervals. */
    private static final long MAX_GAP_NANOS = 600_000_000L;

    private long lastRoundNanos;
    private long resumedNanos;

    /** Creates a detector of a timer that starts now; no messages wait yet. */
    public PauseDetector(long nowNanos) {
        this.lastRoundNanos = nowNanos;
        this.resumedNanos = nowNanos - MAX_GAP_NANOS;
    }

    /** Called in each round of the timer. */
    public void onRound(long nowNanos) {
        if (isOverdue(nowNanos)) {
            resumedNanos = nowNanos;
        }
        lastRoundNanos = nowNanos;
    }

    /**
     * Returns whether a message may have waited during a pause: a round is late, or the message was not known to arrive
     * after the pause.
     *
     * @param arrivedAfterNanos time at which the message had not arrived yet
     */
    public boolean mayHaveWaited(long arrivedAfterNanos, long nowNanos) {
        return isOverdue(nowNanos) || arrivedAfterNanos - resumedNanos < 0;
    }

    private boolean isOverdue(long nowNanos) {
        return nowNanos - lastRoundNanos > MAX_GAP_NANOS;
    }
}
