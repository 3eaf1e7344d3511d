package org.dragonflygw.core.routing;

import java.time.Duration;
import java.time.Instant;

/**
 * Estimates the requests on an engine that this steward did not grant: those of an earlier steward, or of a second one
 * that exists while views differ. It is what the engine's lagging report shows above the steward's own grants of the
 * last seconds. After a takeover the free slots are handed out by halves, one half for each report. Not thread safe;
 * the owner guards it.
 */
final class ForeignLoad {
    private static final Duration PEAK_BUCKET = Duration.ofMillis(1_500);
    private static final Duration REPORT_VALID_FOR = Duration.ofSeconds(10);

    private Instant graceEnd;
    private int foreign;
    private Instant foreignAt;
    private int currentPeak;
    private int previousPeak;
    private Instant bucketStart;
    private int graceBudget;
    private boolean budgetSet;

    ForeignLoad(Instant start, Duration grace, int initial) {
        this.graceEnd = start.plus(grace);
        this.foreign = initial;
        this.foreignAt = start;
        this.bucketStart = start;
    }

    /** Starts a time in which another steward may grant as well. */
    void startGrace(Instant now, Duration grace) {
        graceEnd = now.plus(grace);
        budgetSet = false;
    }

    /** Requests of others now. */
    int current(Instant now) {
        if (foreign > 0 && now.isAfter(foreignAt.plus(REPORT_VALID_FOR))) {
            foreign = 0;
        }
        return foreign;
    }

    /** Notes the number of own grants after a change. */
    void onOwnGrantsChanged(int own, Instant now) {
        if (now.isAfter(bucketStart.plus(PEAK_BUCKET))) {
            boolean adjacent = !now.isAfter(bucketStart.plus(PEAK_BUCKET.multipliedBy(2)));
            previousPeak = adjacent ? currentPeak : own;
            currentPeak = own;
            bucketStart = now;
        }
        currentPeak = Math.max(currentPeak, own);
    }

    /** Takes a report of the engine. */
    void onReport(int reported, int own, Instant now) {
        onOwnGrantsChanged(own, now);
        foreign = Math.max(0, reported - Math.max(own, Math.max(currentPeak, previousPeak)));
        foreignAt = now;
        budgetSet = false;
    }

    /** Whether a grant is allowed with the given number of free slots. */
    boolean allowsGrant(int free, Instant now) {
        if (!now.isBefore(graceEnd)) {
            return true;
        }
        if (!budgetSet) {
            graceBudget = Math.max(1, free / 2);
            budgetSet = true;
        }
        return graceBudget > 0;
    }

    /** Counts a grant against the half that is free in the grace period. */
    void onGrant() {
        graceBudget--;
    }
}
