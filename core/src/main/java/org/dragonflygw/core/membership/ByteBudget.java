package org.dragonflygw.core.membership;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;

/** Token bucket of bytes whose capacity is the amount for one second. Not thread-safe. */
final class ByteBudget {
    private final int bytesPerSecond;
    private final InstantSource clock;
    private double available;
    private Instant refilledAt;

    ByteBudget(int bytesPerSecond, InstantSource clock) {
        this.bytesPerSecond = bytesPerSecond;
        this.clock = clock;
        available = bytesPerSecond;
        refilledAt = clock.instant();
    }

    /** Returns the bytes that may be sent now; 0 while the bucket is overdrawn. */
    int available() {
        refill();
        return (int) Math.max(0, available);
    }

    /** Deducts bytes that were sent. May overdraw the bucket; later sends then wait until it is positive again. */
    void spend(int bytes) {
        refill();
        available -= bytes;
    }

    private void refill() {
        Instant now = clock.instant();
        double seconds = Duration.between(refilledAt, now).toNanos() / 1e9;
        if (seconds > 0) {
            available = Math.min(bytesPerSecond, available + seconds * bytesPerSecond);
            refilledAt = now;
        }
    }
}
