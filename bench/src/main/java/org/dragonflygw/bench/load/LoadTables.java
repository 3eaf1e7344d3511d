package org.dragonflygw.bench.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Function;
import org.HdrHistogram.Histogram;

/** Writes results as CSV. With two targets the last column is what the second adds to the first. */
final class LoadTables {
    private static final double[] PERCENTILES = {50, 90, 95, 99, 99.9, 100};
    private static final double MICROS_PER_MILLI = 1000;

    private LoadTables() {}

    /** Latencies by percentile, in milliseconds. */
    static String latencies(List<LoadResult> results) {
        StringBuilder table = new StringBuilder("measure,percentile");
        results.forEach(result -> table.append(',').append(result.name()).append("_millis"));
        table.append(results.size() == 2 ? ",added_millis\n" : "\n");
        append(table, "first_token", results, LoadMetrics::firstTokenMicros);
        append(table, "token_gap", results, LoadMetrics::tokenGapMicros);
        return table.toString();
    }

    /** Counts and rates of each target. */
    static String totals(List<LoadResult> results) {
        StringBuilder table = new StringBuilder(
                "target,whole,failed,tokens,tokens_per_second,cpu_seconds,tokens_per_cpu_second,most_open\n");
        for (LoadResult result : results) {
            LoadMetrics record = result.metrics();
            table.append(String.format(
                    Locale.ROOT,
                    "%s,%d,%d,%d,%.0f,%.2f,%.0f,%d%n",
                    result.name(),
                    record.completeCount(),
                    record.failedCount(),
                    record.tokenCount(),
                    result.tokensPerSecond(),
                    result.cpu().toMillis() / MICROS_PER_MILLI,
                    result.tokensPerCpuSecond(),
                    record.maxOpenCount()));
        }
        return table.toString();
    }

    private static void append(
            StringBuilder table, String measure, List<LoadResult> results, Function<LoadMetrics, Histogram> histogram) {
        for (double percentile : PERCENTILES) {
            List<Double> millis = new ArrayList<>();
            for (LoadResult result : results) {
                millis.add(histogram.apply(result.metrics()).getValueAtPercentile(percentile) / MICROS_PER_MILLI);
            }
            table.append(String.format(Locale.ROOT, "%s,%s", measure, percentile));
            millis.forEach(value -> table.append(String.format(Locale.ROOT, ",%.3f", value)));
            if (millis.size() == 2) {
                table.append(String.format(Locale.ROOT, ",%.3f", millis.get(1) - millis.get(0)));
            }
            table.append('\n');
        }
    }
}
