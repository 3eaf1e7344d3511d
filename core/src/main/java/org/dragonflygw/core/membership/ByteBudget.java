package org.dragonflygw.core.membership;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;

/** Token bucket of bytes that holds at most one second's worth. Not thread-safe. */
final class ByteBudget {
    private final int bytesPerSecond;
    private final InstantSource clock;
    private double available;
    private Instant filledAt;

    ByteBudget(int bytesPerSecond, InstantSource clock) {
        this.bytesPerSecond = bytesPerSecond;
        this.clock = clock;
        available = bytesPerSecond;
        filledAt = clock.instant();
    }

    int available() {
        fill();
        return (int) Math.max(0, available);
    }

    /** Takes bytes that were sent; may go into debt, which later sends wait for. */
    void spend(int bytes) {
        fill();
        available -= bytes;
    }

    private void fill() {
        Instant now = clock.instant();
        double seconds = Duration.between(filledAt, now).toNanos() / 1e9;
        if (seconds > 0) {
            available = Math.min(bytesPerSecond, available + seconds * bytesPerSecond);
            filledAt = now;
        }
    }
}
