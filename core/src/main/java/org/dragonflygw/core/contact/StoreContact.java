package org.dragonflygw.core.contact;

import java.time.InstantSource;
import java.util.function.LongSupplier;
import org.dragonflygw.core.lease.MonotonicClock;
import org.dragonflygw.core.lease.SuspensionDetector;

/**
 * Tracks how recently this host read the configuration from the store. API keys are accepted only while the last read
 * is recent enough. A read confirms the keys as of the time at which it was sent. The monotonic clock stops while the
 * host is suspended, but the wall clock does not. A jump of the wall clock relative to the monotonic clock therefore
 * invalidates the confirmation until the next read. Not thread-safe.
 */
public final class StoreContact {
    private final LongSupplier maxAgeNanos;
    private final MonotonicClock clock;
    private final SuspensionDetector suspensions;

    private boolean confirmed;
    private long confirmedNanos;
    private long suspensionNanos;

    /**
     * Creates a tracker without a confirmation.
     *
     * @param maxAgeNanos time for which a read confirms the keys after it was sent, in nanoseconds
     */
    public StoreContact(LongSupplier maxAgeNanos, MonotonicClock clock, InstantSource wallClock) {
        this.maxAgeNanos = maxAgeNanos;
        this.clock = clock;
        this.suspensions = new SuspensionDetector(clock, wallClock);
        this.suspensionNanos = Long.MIN_VALUE;
    }

    /**
     * Records a successful read of the store.
     *
     * @param sentNanos monotonic time at which the read was sent, in nanoseconds
     */
    public void onRead(long sentNanos) {
        detectSuspension();
        if (sentNanos <= suspensionNanos || (confirmed && sentNanos < confirmedNanos)) {
            return;
        }
        confirmed = true;
        confirmedNanos = sentNanos;
    }

    /** Withdraws the confirmation until the next read is recorded. */
    public void withdraw() {
        confirmed = false;
    }

    /** Returns whether the API keys are confirmed by a recent read. */
    public boolean keysConfirmed() {
        detectSuspension();
        return confirmed && clock.nanos() - confirmedNanos < maxAgeNanos.getAsLong();
    }

    /** Returns the age of the last confirmation in milliseconds, or -1 if there is none. */
    public long ageMs() {
        detectSuspension();
        return confirmed ? (clock.nanos() - confirmedNanos) / 1_000_000 : -1;
    }

    private void detectSuspension() {
        if (suspensions.wasSuspended()) {
            confirmed = false;
            suspensionNanos = clock.nanos();
        }
    }
}
