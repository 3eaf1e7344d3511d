package org.dragonflygw.core.discovery;

import java.util.function.LongSupplier;

/**
 * Decides whether a removed entry may have expired during a store outage although its endpoint is alive. Endpoints
 * renew their entries with heartbeats, so entries expire only in an outage of more than one heartbeat interval, and live
 * endpoints register again soon after it. If only this host could not reach the store, the reads of other hosts show that
 * there was no such outage, and a removed entry means that the endpoint is gone. Not thread-safe.
 */
final class OutageGrace {
    /** Time after the end of an outage in which live endpoints register again, in nanoseconds. */
    private static final long GRACE_NANOS = 2_200_000_000L;

    /**
     * Shortest outage in which entries expire, in heartbeat intervals. An entry expires after three intervals without a
     * heartbeat; the last heartbeat is up to one interval older than the outage, and heartbeats may be late.
     */
    private static final double MIN_OUTAGE_HEARTBEATS = 1.5;

    private final LongSupplier heartbeatNanos;

    private boolean readFailed;
    private long failedNanos;
    private boolean readOnce;
    private long lastReadNanos;
    private boolean open;
    private long endNanos;

    /**
     * Creates a grace that is closed.
     *
     * @param heartbeatNanos supplies the interval of the endpoints' heartbeats in nanoseconds
     */
    OutageGrace(LongSupplier heartbeatNanos) {
        this.heartbeatNanos = heartbeatNanos;
    }

    /** Records that a read of the store by this host failed. */
    void onReadFailure(long nowNanos) {
        readFailed = true;
        failedNanos = nowNanos;
    }

    /**
     * Records that the store answered a read of this host or of another one. Opens the grace if the store answered no
     * known read for long enough before.
     *
     * @param asOfNanos time at which the read was sent, on this host's monotonic clock
     */
    void onStoreRead(long asOfNanos, long nowNanos) {
        if (readOnce && asOfNanos <= lastReadNanos) {
            return;
        }
        if (readFailed && asOfNanos > failedNanos) {
            readFailed = false;
            if (readOnce && asOfNanos - lastReadNanos >= MIN_OUTAGE_HEARTBEATS * heartbeatNanos.getAsLong()) {
                open = true;
                endNanos = nowNanos + GRACE_NANOS;
            }
        }
        readOnce = true;
        lastReadNanos = asOfNanos;
    }

    /** Opens the grace because the store came back from a copy, in which entries of live endpoints may be missing. */
    void open(long nowNanos) {
        open = true;
        endNanos = nowNanos + GRACE_NANOS;
    }

    /** Returns whether an entry that is removed now may belong to a live endpoint. */
    boolean isOpen(long nowNanos) {
        open = open && nowNanos < endNanos;
        return open;
    }
}
