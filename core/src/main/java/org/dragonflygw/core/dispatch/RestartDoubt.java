package org.dragonflygw.core.dispatch;

/**
 * Whether another process may answer at the address of an endpoint than the one that its entry describes. An endpoint that
 * restarts under its id, perhaps with other software, takes connections before its new entry has reached this host. Not
 * thread-safe.
 */
final class RestartDoubt {
    /** Time after a lost connection in which a new entry arrives if the endpoint has restarted, in nanoseconds. */
    private static final long MAX_DOUBT_NANOS = 5_000_000_000L;

    private boolean lost;
    private long lostNanos;

    /** Records that the endpoint ended or refused a connection. */
    void onConnectionLost(long nowNanos) {
        lost = true;
        lostNanos = nowNanos;
    }

    /** Records bytes on a connection, which show that the process lives that accepted it. */
    void onHeard(long openedNanos) {
        lost &= openedNanos - lostNanos >= 0;
    }

    /** Returns whether the endpoint may have restarted since its entry was written. */
    boolean exists(long nowNanos) {
        return lost && nowNanos - lostNanos < MAX_DOUBT_NANOS;
    }
}
