package org.dragonflygw.core.routing;

import java.time.Duration;
import java.time.Instant;

/**
 * Suspends an engine after failures. One lost connection leaves a single slot until an answer completes; two lost
 * connections or three errors in a row suspend it, each time for twice as long. Not thread safe; the owner guards it.
 */
final class EngineHealth {
    private static final int FAILURES_TO_SUSPEND = 3;
    private static final int LOSSES_TO_SUSPEND = 2;
    private static final Duration MIN_SUSPENSION = Duration.ofSeconds(1);
    private static final Duration MAX_SUSPENSION = Duration.ofSeconds(10);

    private int failures;
    private int losses;
    private boolean probing;
    private Duration suspension = MIN_SUSPENSION;
    private Instant suspendedUntil = Instant.EPOCH;

    /** Notes how an attempt ended; returns whether the engine became suspended by it. */
    boolean onEnd(AttemptOutcome outcome, Instant now) {
        if (outcome == AttemptOutcome.COMPLETED) {
            onSuccess(now);
            return false;
        }
        if (outcome == AttemptOutcome.CANCELLED) {
            return false;
        }
        if (outcome == AttemptOutcome.ENDPOINT_LOST || outcome == AttemptOutcome.UNREACHABLE) {
            losses++;
            probing = true;
        } else {
            failures++;
        }
        if (isSuspended(now)) {
            return false;
        }
        boolean failedProbe = probing && failures + losses > 1;
        if (failedProbe || failures >= FAILURES_TO_SUSPEND || losses >= LOSSES_TO_SUSPEND) {
            suspend(now);
            return true;
        }
        return false;
    }

    /** Whether the engine takes nothing now. */
    boolean isSuspended(Instant now) {
        return now.isBefore(suspendedUntil);
    }

    /** Whether only one request at a time may run, to see whether the engine works. */
    boolean isProbing() {
        return probing;
    }

    /** Time until the next probe, in milliseconds; 0 when not suspended. */
    long remainingSuspensionMillis(Instant now) {
        return Math.max(0, Duration.between(now, suspendedUntil).toMillis());
    }

    private void onSuccess(Instant now) {
        if (isSuspended(now)) {
            return;
        }
        failures = 0;
        losses = 0;
        probing = false;
        suspension = MIN_SUSPENSION;
    }

    private void suspend(Instant now) {
        suspendedUntil = now.plus(suspension);
        Duration doubled = suspension.multipliedBy(2);
        suspension = doubled.compareTo(MAX_SUSPENSION) < 0 ? doubled : MAX_SUSPENSION;
        probing = true;
        failures = 0;
        losses = 1;
    }
}
