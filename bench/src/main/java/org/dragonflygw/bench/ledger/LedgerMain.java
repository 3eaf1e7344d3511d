package org.dragonflygw.bench.ledger;

import java.io.PrintStream;
import java.util.List;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.dragonflygw.core.ledger.CommitLimits;

/**
 * Measures the rate and latency of claims through a rate-limited table service, with and without group commit, and the
 * memory of a claim.
 */
public final class LedgerMain {
    private static final int DAEMONS = 6;
    private static final int WRITES_PER_SECOND = 300;
    private static final long COMMIT_INTERVAL_MILLIS = 25;
    private static final CommitLimits SINGLE_ROW_COMMITS = new CommitLimits(1, 20_000, 3, 200);

    private LedgerMain() {}

    /** Entry point. */
    public static void main(String[] args) throws InterruptedException {
        OptionParser parser = new OptionParser();
        OptionSpec<Integer> seconds = parser.accepts("seconds")
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(10);
        OptionSet options = parser.parse(args);
        int length = seconds.value(options);
        PrintStream out = System.out;
        ClaimMemory.ClaimSize size = ClaimMemory.measure();
        out.println("heap per open claim " + size.heapBytes() + " B, row with key " + size.rowBytes() + " B, "
                + size.claims() + " claims open");
        run(new LedgerPlan(
                "warm-up", DAEMONS, 1_000, 5, WRITES_PER_SECOND, CommitLimits.DEFAULT, COMMIT_INTERVAL_MILLIS));
        out.println("| run | offered/s | claimed/s | refused/s | transactions/s | rows each | p50 ms | p99 ms | max ms "
                + "| throttled |");
        out.println("|---|---|---|---|---|---|---|---|---|---|");
        for (LedgerPlan plan : plans(length)) {
            out.println(run(plan).row());
        }
        System.exit(0);
    }

    private static List<LedgerPlan> plans(int seconds) {
        return List.of(
                plan("group", 500, seconds, CommitLimits.DEFAULT),
                plan("group", 2_000, seconds, CommitLimits.DEFAULT),
                plan("group", 4_000, seconds, CommitLimits.DEFAULT),
                plan("single", 100, seconds, SINGLE_ROW_COMMITS),
                plan("single", 2_000, seconds, SINGLE_ROW_COMMITS));
    }

    private static LedgerPlan plan(String name, int claimsPerSecond, int seconds, CommitLimits commits) {
        long interval = commits.maxRows() == 1 ? 0 : COMMIT_INTERVAL_MILLIS;
        return new LedgerPlan(name, DAEMONS, claimsPerSecond, seconds, WRITES_PER_SECOND, commits, interval);
    }

    private static LedgerResult run(LedgerPlan plan) throws InterruptedException {
        return new LedgerRun(plan).run();
    }
}
