package org.dragonflygw.core.paths;

/** What this host knows of its paths to the endpoints of one service. Not thread-safe. */
final class ServicePaths {
    /** Time without a byte from any endpoint, while requests are unanswered, after which the paths are suspected. */
    private static final long SILENCE_NANOS = 500_000_000L;

    /** Least time between the starts of two rounds of probes, in nanoseconds. */
    private static final long ROUND_INTERVAL_NANOS = 250_000_000L;

    /** Largest time between two rounds while the paths stay lost, in nanoseconds. */
    private static final long MAX_INTERVAL_NANOS = 1_000_000_000L;

    /** Factor by which the time between two rounds grows while the paths stay lost. */
    private static final double INTERVAL_GROWTH = 1.5;

    /** Why a round of probes is due. */
    enum Suspicion {
        NONE,
        SILENCE,
        CONNECTION_FAILED,
        CONNECTION_LOST,
        OTHER_SERVICE_LOST,
        STILL_LOST
    }

    private Suspicion suspicion = Suspicion.NONE;
    private boolean lost;
    private boolean unanswered;
    private long unansweredSinceNanos;
    private boolean probed;
    private long lastRoundNanos;
    private long intervalNanos = ROUND_INTERVAL_NANOS;

    boolean isLost() {
        return lost;
    }

    void onSent(long nowNanos) {
        if (!unanswered) {
            unanswered = true;
            unansweredSinceNanos = nowNanos;
        }
    }

    void onHeard() {
        unanswered = false;
    }

    void suspect(Suspicion s) {
        if (suspicion == Suspicion.NONE) {
            suspicion = s;
        }
    }

    /** Returns why a round of probes is due now; {@link Suspicion#NONE} if none is. */
    Suspicion due(long nowNanos) {
        if (probed && nowNanos - lastRoundNanos < intervalNanos) {
            return Suspicion.NONE;
        }
        if (lost) {
            return Suspicion.STILL_LOST;
        }
        boolean silent = unanswered && nowNanos - unansweredSinceNanos >= SILENCE_NANOS;
        return suspicion == Suspicion.NONE && silent ? Suspicion.SILENCE : suspicion;
    }

    void onRoundStarted(long nowNanos) {
        probed = true;
        lastRoundNanos = nowNanos;
        intervalNanos =
                lost ? Math.min(MAX_INTERVAL_NANOS, (long) (intervalNanos * INTERVAL_GROWTH)) : ROUND_INTERVAL_NANOS;
        suspicion = Suspicion.NONE;
    }

    void onReached() {
        lost = false;
        intervalNanos = ROUND_INTERVAL_NANOS;
        unanswered = false;
    }

    void onLost() {
        lost = true;
        unanswered = false;
    }
}
