package org.dragonflygw.core.contact;

import java.time.InstantSource;
import java.util.function.LongSupplier;
import org.dragonflygw.core.lease.MonotonicClock;

/**
 * How recently this host read the configuration from the store, which decides whether a key may still be taken as
 * valid. A read confirms the keys as of the moment at which it was sent. The monotonic clock does not count time in
 * which the host was suspended, but the time of day does; a jump of it against the monotonic clock therefore voids the
 * confirmation until the next read. Used by one thread.
 */
public final class StoreContact {
    /** Jump of the time of day that voids a confirmation, in milliseconds: more than clocks are adjusted by. */
    private static final long MAX_CLOCK_JUMP_MS = 400;

    private final LongSupplier maxAgeNanos;
    private final MonotonicClock clock;
    private final InstantSource wallClock;

    private boolean confirmed;
    private long confirmedNanos;
    private long wallOffsetMs;
    private long notBeforeNanos;

    /**
     * Makes a contact without any confirmation.
     *
     * @param maxAgeNanos how long keys are taken as valid after a read was sent
     */
    public StoreContact(LongSupplier maxAgeNanos, MonotonicClock clock, InstantSource wallClock) {
        this.maxAgeNanos = maxAgeNanos;
        this.clock = clock;
        this.wallClock = wallClock;
        this.notBeforeNanos = Long.MIN_VALUE;
        this.wallOffsetMs = wallOffset(clock.nanos());
    }

    /** Notes a read that was answered. */
    public void onRead(long sentNanos) {
        checkForSuspension();
        if (sentNanos <= notBeforeNanos || (confirmed && sentNanos < confirmedNanos)) {
            return;
        }
        confirmed = true;
        confirmedNanos = sentNanos;
    }

    /** Whether keys are known to be valid now. */
    public boolean keysConfirmed() {
        checkForSuspension();
        return confirmed && clock.nanos() - confirmedNanos < maxAgeNanos.getAsLong();
    }

    /** Age of the newest confirmation in milliseconds, -1 if there is none. */
    public long ageMs() {
        checkForSuspension();
        return confirmed ? (clock.nanos() - confirmedNanos) / 1_000_000 : -1;
    }

    private void checkForSuspension() {
        long now = clock.nanos();
        long offset = wallOffset(now);
        if (Math.abs(offset - wallOffsetMs) > MAX_CLOCK_JUMP_MS) {
            confirmed = false;
            notBeforeNanos = now;
            wallOffsetMs = offset;
        }
    }

    private long wallOffset(long nowNanos) {
        return wallClock.instant().toEpochMilli() - nowNanos / 1_000_000;
    }
}
