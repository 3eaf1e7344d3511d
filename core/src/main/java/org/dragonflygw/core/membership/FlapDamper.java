package org.dragonflygw.core.membership;

import java.time.Duration;
import java.time.Instant;

/**
 * Penalty of an endpoint that comes and goes: each return adds to it, it halves with time, and the endpoint takes no new
 * work from when it exceeds one limit until it falls below a lower one. Not thread-safe.
 */
final class FlapDamper {
    private static final double RETURN_PENALTY = 1000;
    private static final double MAX_PENALTY = 8000;
    private static final double SUSPEND_ABOVE = 2500;
    private static final double RESTORE_BELOW = 1000;
    private static final Duration HALF_LIFE = Duration.ofSeconds(15);
    private static final Duration MEMORY = Duration.ofMinutes(10);

    private double penalty;
    private Instant updatedAt = Instant.EPOCH;
    private boolean suspended;
    private Instant goneAt = Instant.EPOCH;

    /** Counts one return of the endpoint. */
    void onReturn(Instant now) {
        penalty = Math.min(MAX_PENALTY, penaltyAt(now) + RETURN_PENALTY);
        updatedAt = now;
        suspended = suspended || penalty > SUSPEND_ABOVE;
    }

    /** Whether the endpoint takes no new work now. */
    boolean isSuspended(Instant now) {
        if (suspended && !now.isBefore(restoredAt())) {
            suspended = false;
        }
        return suspended;
    }

    /** When a suspension ends. */
    Instant restoredAt() {
        double halvings = Math.log(Math.max(1, penalty / RESTORE_BELOW)) / Math.log(2);
        return updatedAt.plusMillis((long) Math.ceil(halvings * HALF_LIFE.toMillis()));
    }

    /** Notes that the endpoint is gone; it is remembered for a while in case it returns. */
    void onRemoved(Instant now) {
        goneAt = now;
    }

    /** Whether an endpoint that is gone has been so for long enough to forget it. */
    boolean isExpired(Instant now) {
        return goneAt.plus(MEMORY).isBefore(now);
    }

    private double penaltyAt(Instant now) {
        double halvings = (double) Duration.between(updatedAt, now).toMillis() / HALF_LIFE.toMillis();
        return penalty * Math.pow(0.5, Math.max(0, halvings));
    }
}
