package org.dragonflygw.bench.policy;

import java.util.HashMap;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** Figures of one run. */
final class RunResult {
    private static final int MAX_MILLIS = 600_000;
    private static final double MIN_MEAN_FOR_RATIO = 4;

    final Histogram firstToken = new Histogram(MAX_MILLIS, 3);
    final Histogram firstTokenOfOthers = new Histogram(MAX_MILLIS, 3);
    final Histogram firstTokenOfSurging = new Histogram(MAX_MILLIS, 3);
    final Histogram skewPercent = new Histogram(100_000, 3);
    final Map<String, Long> refusals = new HashMap<>();
    final long[] servedOfTeam;
    final long[] askedOfTeam;
    long arrivals;
    long requests;
    long completed;
    long late;
    long lateOfOthers;
    long refusedOfOthers;
    long attempts;
    long failed;
    long reusedTokens;
    long reusableTokens;
    long placements;
    long placementsAboveBound;
    double worstPlacement;
    long samples;
    long samplesAboveBound;
    double worstExcess;
    long enginesLost;
    long grantCalls;
    long grantBytes;

    RunResult(int teams) {
        servedOfTeam = new long[teams];
        askedOfTeam = new long[teams];
    }

    void sampleLoads(int max, double mean, double bound) {
        samples++;
        double excess = max - (bound * mean + 1);
        if (excess > 1e-9) {
            samplesAboveBound++;
        }
        worstExcess = Math.max(worstExcess, excess);
        if (mean >= MIN_MEAN_FOR_RATIO) {
            skewPercent.recordValue(Math.min(100_000, Math.round(100 * max / mean)));
        }
    }

    /** Notes by how many requests a placement went above the bound. */
    void placed(double excess) {
        placements++;
        if (excess > 1e-9) {
            placementsAboveBound++;
            worstPlacement = Math.max(worstPlacement, excess);
        }
    }

    void refused(String reason) {
        refusals.merge(reason, 1L, Long::sum);
    }

    long refused() {
        return refusals.values().stream().mapToLong(Long::longValue).sum();
    }

    double reuse() {
        return reusableTokens == 0 ? 0 : (double) reusedTokens / reusableTokens;
    }

    double percentAboveBound() {
        return samples == 0 ? 0 : 100.0 * samplesAboveBound / samples;
    }

    double attemptsPerRequest() {
        return requests == 0 ? 0 : (double) attempts / requests;
    }
}
