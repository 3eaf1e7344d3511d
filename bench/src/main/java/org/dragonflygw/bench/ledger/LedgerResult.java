package org.dragonflygw.bench.ledger;

import org.HdrHistogram.Histogram;

/**
 * What a measurement gave.
 *
 * @param plan what was measured
 * @param claimed claims that were held
 * @param refused claims that were refused
 * @param claimMicros time until a claim was held, in microseconds
 * @param transactions transactions that took effect
 * @param rows rows in them
 * @param throttled calls refused by the rate limit
 */
record LedgerResult(
        LedgerPlan plan,
        long claimed,
        long refused,
        Histogram claimMicros,
        long transactions,
        long rows,
        long throttled) {
    private static final double MICROS_PER_MILLI = 1_000;

    String row() {
        return String.format(
                "| %s | %d | %.0f | %.0f | %.0f | %.1f | %.1f | %.1f | %.1f | %d |",
                plan.name(),
                plan.claimsPerSecond(),
                claimed / (double) plan.seconds(),
                refused / (double) plan.seconds(),
                transactions / (double) plan.seconds(),
                transactions == 0 ? 0 : rows / (double) transactions,
                claimMicros.getValueAtPercentile(50) / MICROS_PER_MILLI,
                claimMicros.getValueAtPercentile(99) / MICROS_PER_MILLI,
                claimMicros.getMaxValue() / MICROS_PER_MILLI,
                throttled);
    }
}
