package org.dragonflygw.core.routing;

import java.time.Duration;
import java.time.Instant;

/**
 * Estimates the requests on an engine that this steward did not grant: requests of an earlier steward, or of a second
 * one that exists while the membership views of the daemons differ. The estimate is the load in the engine's lagging
 * report less the peak of the steward's own grants in the last seconds. In the grace period after a takeover, the
 * steward may grant half of the free slots for each report. Not thread safe; guarded by the owner.
 */
final class ForeignLoad {
    private static final Duration PEAK_BUCKET = Duration.ofMillis(1_500);
    private static final Duration REPORT_VALIDITY = Duration.ofSeconds(10);

    private Instant graceEnd;
    private int estimate;
    private Instant estimatedAt;
    private int currentPeak;
    private int previousPeak;
    private Instant bucketStart;
    private int graceBudget;
    private boolean graceBudgetSet;

    ForeignLoad(Instant start, Duration grace, int initial) {
        this.graceEnd = start.plus(grace);
        this.estimate = initial;
        this.estimatedAt = start;
        this.bucketStart = start;
    }

    /** Starts a grace period, in which another steward may still grant slots. */
    void startGrace(Instant now, Duration grace) {
        graceEnd = now.plus(grace);
        graceBudgetSet = false;
    }

    /** Estimated requests of other stewards; 0 once the last report is too old. */
    int current(Instant now) {
        if (estimate > 0 && now.isAfter(estimatedAt.plus(REPORT_VALIDITY))) {
            estimate = 0;
        }
        return estimate;
    }

    /** Records the number of own grants after a change, for the peak. */
    void onOwnGrantsChanged(int own, Instant now) {
        if (now.isAfter(bucketStart.plus(PEAK_BUCKET))) {
            boolean adjacent = !now.isAfter(bucketStart.plus(PEAK_BUCKET.multipliedBy(2)));
            previousPeak = adjacent ? currentPeak : own;
            currentPeak = own;
            bucketStart = now;
        }
        currentPeak = Math.max(currentPeak, own);
    }

    /** Updates the estimate from a report of the engine. */
    void onReport(int reported, int own, Instant now) {
        onOwnGrantsChanged(own, now);
        estimate = Math.max(0, reported - Math.max(own, Math.max(currentPeak, previousPeak)));
        estimatedAt = now;
        graceBudgetSet = false;
    }

    /** Whether another grant is allowed; in the grace period only within the budget of half the free slots. */
    boolean allowsGrant(int free, Instant now) {
        if (!now.isBefore(graceEnd)) {
            return true;
        }
        if (!graceBudgetSet) {
            graceBudget = Math.max(1, free / 2);
            graceBudgetSet = true;
        }
        return graceBudget > 0;
    }

    /** Counts a grant against the budget of the grace period. */
    void onGrant() {
        graceBudget--;
    }
}
