package org.dragonflygw.core.routing;

import java.time.Duration;
import java.time.Instant;

/**
 * Suspends an engine after failures. After one lost connection the engine is probed: a single slot is used until an
 * answer completes. A failure while probing, or three errors without a completed answer between them, suspend the
 * engine; each suspension lasts twice as long as the one before, up to a maximum. Not thread safe; guarded by the
 * owner.
 */
final class EngineHealth {
    private static final int FAILURES_TO_SUSPEND = 3;
    private static final int LOST_CONNECTIONS_TO_SUSPEND = 2;
    private static final Duration MIN_SUSPENSION = Duration.ofSeconds(1);
    private static final Duration MAX_SUSPENSION = Duration.ofSeconds(10);

    private int failures;
    private int lostConnections;
    private boolean probing;
    private Duration suspension = MIN_SUSPENSION;
    private Instant suspendedUntil = Instant.EPOCH;

    /** Records how an attempt ended; returns whether this suspended the engine. */
    boolean onEnd(AttemptOutcome outcome, Instant now) {
        if (outcome == AttemptOutcome.COMPLETED) {
            onSuccess(now);
            return false;
        }
        if (outcome == AttemptOutcome.CANCELLED) {
            return false;
        }
        if (outcome == AttemptOutcome.ENDPOINT_LOST || outcome == AttemptOutcome.UNREACHABLE) {
            lostConnections++;
            probing = true;
        } else {
            failures++;
        }
        if (isSuspended(now)) {
            return false;
        }
        boolean failedProbe = probing && failures + lostConnections > 1;
        if (failedProbe || failures >= FAILURES_TO_SUSPEND || lostConnections >= LOST_CONNECTIONS_TO_SUSPEND) {
            suspend(now);
            return true;
        }
        return false;
    }

    /** Whether the engine is suspended and takes no requests. */
    boolean isSuspended(Instant now) {
        return now.isBefore(suspendedUntil);
    }

    /** Whether only one request at a time may run, to test whether the engine works. */
    boolean isProbing() {
        return probing;
    }

    /** Time until the suspension ends and a probe may run, in milliseconds; 0 when not suspended. */
    long remainingSuspensionMillis(Instant now) {
        return Math.max(0, Duration.between(now, suspendedUntil).toMillis());
    }

    private void onSuccess(Instant now) {
        if (isSuspended(now)) {
            return;
        }
        failures = 0;
        lostConnections = 0;
        probing = false;
        suspension = MIN_SUSPENSION;
    }

    private void suspend(Instant now) {
        suspendedUntil = now.plus(suspension);
        Duration doubled = suspension.multipliedBy(2);
        suspension = doubled.compareTo(MAX_SUSPENSION) < 0 ? doubled : MAX_SUSPENSION;
        probing = true;
        failures = 0;
        lostConnections = 1;
    }
}
