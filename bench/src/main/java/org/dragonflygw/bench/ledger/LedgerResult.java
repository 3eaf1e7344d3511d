package org.dragonflygw.bench.ledger;

import org.HdrHistogram.Histogram;

/**
 * Result of one measurement.
 *
 * @param plan parameters of the measurement
 * @param claimed claims granted
 * @param refused claims refused
 * @param claimMicros time from the scheduled start of a claim until it was granted, in microseconds
 * @param transactions committed transactions
 * @param rows rows in the committed transactions
 * @param throttled calls that the rate limit refused
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
