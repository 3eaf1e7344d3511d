package org.dragonflygw.bench.ledger;

import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.dragonflygw.core.ledger.AnswerHeader;
import org.dragonflygw.core.ledger.StoredAnswer;
import org.dragonflygw.core.ledger.Submission;
import org.dragonflygw.core.ledger.SubmissionDecision;
import org.dragonflygw.standins.platform.PlatformConfig;
import org.dragonflygw.standins.platform.PlatformServer;
import org.dragonflygw.standins.platform.StoreCounts;

/**
 * Runs one measurement: offers claims at a fixed rate to the ledgers of several daemons that share one platform
 * stand-in.
 */
final class LedgerRun {
    private static final int READS_PER_SECOND = 2_000;
    private static final long DEADLINE_SECONDS = 30;
    private static final int MAX_TRACKABLE_MICROS = 60_000_000;
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final long DRAIN_WAIT_MILLIS = 3_000;
    private static final StoredAnswer ANSWER = new StoredAnswer(
            200,
            List.of(new AnswerHeader("Content-Type", "application/json")),
            Optional.of("{\"receipt\":\"2026-000123456\",\"state\":\"booked\"}".getBytes(StandardCharsets.UTF_8)));

    private final LedgerPlan plan;
    private final Histogram claimMicros = new ConcurrentHistogram(MAX_TRACKABLE_MICROS, SIGNIFICANT_DIGITS);
    private final LongAdder claimed = new LongAdder();
    private final LongAdder refused = new LongAdder();

    LedgerRun(LedgerPlan plan) {
        this.plan = plan;
    }

    LedgerResult run() throws InterruptedException {
        PlatformConfig config = new PlatformConfig(0, READS_PER_SECOND, plan.writesPerSecond(), 0, 0, 0);
        try (PlatformServer platform = new PlatformServer(config)) {
            List<LedgerNode> nodes = new ArrayList<>();
            for (int i = 0; i < plan.daemons(); i++) {
                nodes.add(new LedgerNode(i, platform.baseUrl(), plan));
            }
            offerClaims(nodes);
            StoreCounts counts = platform.counts();
            LedgerResult result = new LedgerResult(
                    plan,
                    claimed.sum(),
                    refused.sum(),
                    claimMicros.copy(),
                    counts.commits(),
                    counts.mutations(),
                    counts.throttled());
            TimeUnit.MILLISECONDS.sleep(DRAIN_WAIT_MILLIS);
            for (LedgerNode node : nodes) {
                node.stop();
            }
            return result;
        }
    }

    private void offerClaims(List<LedgerNode> nodes) throws InterruptedException {
        long count = (long) plan.claimsPerSecond() * plan.seconds();
        long start = System.nanoTime();
        for (long i = 0; i < count; i++) {
            long dueNanos = start + i * TimeUnit.SECONDS.toNanos(1) / plan.claimsPerSecond();
            long waitNanos = dueNanos - System.nanoTime();
            if (waitNanos > 0) {
                TimeUnit.NANOSECONDS.sleep(waitNanos);
            }
            claim(nodes.get((int) (i % nodes.size())), i, dueNanos);
        }
    }

    private void claim(LedgerNode node, long number, long dueNanos) {
        Submission submission = new Submission(
                "req-" + number,
                "clerks",
                "fees",
                plan.name() + "-key-" + number,
                number,
                Instant.now().plusSeconds(DEADLINE_SECONDS));
        var unused = node.ledger().claim(submission).thenAccept(decision -> onDecision(decision, dueNanos));
    }

    private void onDecision(SubmissionDecision decision, long dueNanos) {
        if (decision instanceof SubmissionDecision.Run run) {
            claimMicros.recordValue(TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - dueNanos));
            claimed.increment();
            run.claim().complete(ANSWER);
        } else {
            refused.increment();
        }
    }
}
