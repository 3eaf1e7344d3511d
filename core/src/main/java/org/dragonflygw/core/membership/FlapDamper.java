package org.dragonflygw.core.membership;

import java.time.Duration;
import java.time.Instant;

/**
 * Flap damping of one endpoint. Each return adds to a penalty that decays exponentially. The endpoint is suspended when
 * the penalty exceeds an upper limit, until it falls below a lower one. Not thread-safe.
 */
final class FlapDamper {
    private static final double RETURN_PENALTY = 1000;
    private static final double MAX_PENALTY = 8000;
    private static final double SUSPEND_ABOVE_PENALTY = 2500;
    private static final double RESTORE_BELOW_PENALTY = 1000;
    private static final Duration HALF_LIFE = Duration.ofSeconds(15);
    private static final Duration RETENTION = Duration.ofMinutes(10);

    private double penalty;
    private Instant updatedAt = Instant.EPOCH;
    private boolean suspended;
    private Instant removedAt = Instant.EPOCH;

    /** Adds the penalty for one return of the endpoint. */
    void onReturn(Instant now) {
        penalty = Math.min(MAX_PENALTY, penaltyAt(now) + RETURN_PENALTY);
        updatedAt = now;
        suspended = suspended || penalty > SUSPEND_ABOVE_PENALTY;
    }

    /** Whether the endpoint is suspended now. */
    boolean isSuspended(Instant now) {
        if (suspended && !now.isBefore(restoredAt())) {
            suspended = false;
        }
        return suspended;
    }

    /** Time at which the penalty falls below the lower limit and a suspension ends. */
    Instant restoredAt() {
        double halfLives = Math.log(Math.max(1, penalty / RESTORE_BELOW_PENALTY)) / Math.log(2);
        return updatedAt.plusMillis((long) Math.ceil(halfLives * HALF_LIFE.toMillis()));
    }

    /** Records that the endpoint was removed from the host list. Its penalty is kept for a time in case it returns. */
    void onRemoved(Instant now) {
        removedAt = now;
    }

    /** Whether the endpoint was removed so long ago that its penalty need not be kept. */
    boolean isExpired(Instant now) {
        return removedAt.plus(RETENTION).isBefore(now);
    }

    private double penaltyAt(Instant now) {
        double halfLives = (double) Duration.between(updatedAt, now).toMillis() / HALF_LIFE.toMillis();
        return penalty * Math.pow(0.5, Math.max(0, halfLives));
    }
}
