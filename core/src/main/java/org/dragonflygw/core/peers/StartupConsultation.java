package org.dragonflygw.core.peers;

import java.util.function.BooleanSupplier;
import java.util.function.LongPredicate;
import org.dragonflygw.core.lease.MonotonicClock;

/**
 * Tells whether a process that has just started has heard what the other hosts know, after it has read the store itself:
 * the store may have lost a configuration that they have in force. The wait is bounded, as hosts may be gone or cut off.
 * Not thread-safe.
 */
public final class StartupConsultation {
    /** Longest wait for the first reports, in nanoseconds: three rounds, so that a lost report does no harm. */
    private static final long MAX_WAIT_NANOS = 600_000_000L;

    private final BooleanSupplier storeRead;
    private final LongPredicate heardAllSince;
    private final MonotonicClock clock;
    private boolean begun;
    private long begunNanos;
    private boolean over;

    /**
     * Creates a consultation that begins when the store was read.
     *
     * @param storeRead tells whether this host has read the configuration
     * @param heardAllSince tells whether all other hosts have reported since a time on the monotonic clock
     */
    public StartupConsultation(BooleanSupplier storeRead, LongPredicate heardAllSince, MonotonicClock clock) {
        this.storeRead = storeRead;
        this.heardAllSince = heardAllSince;
        this.clock = clock;
    }

    /** Returns whether the other hosts were heard, or the wait for them has ended. */
    public boolean isOver() {
        if (over) {
            return true;
        }
        if (!begun) {
            begun = storeRead.getAsBoolean();
            begunNanos = clock.nanos();
        }
        over = begun && (heardAllSince.test(begunNanos) || clock.nanos() - begunNanos >= MAX_WAIT_NANOS);
        return over;
    }
}
