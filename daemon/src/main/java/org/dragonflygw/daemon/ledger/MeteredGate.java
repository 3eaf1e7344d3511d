package org.dragonflygw.daemon.ledger;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.util.concurrent.CompletableFuture;
import org.dragonflygw.core.ledger.Submission;
import org.dragonflygw.core.ledger.SubmissionDecision;
import org.dragonflygw.core.ledger.SubmissionGate;

/** Wraps a submission gate with metrics: counts its decisions and measures the time until each. Thread-safe. */
final class MeteredGate implements SubmissionGate {
    private static final String PREFIX = "dragonflygw.ledger.";

    private final SubmissionGate gate;
    private final MetricRegistry metrics;
    private final Timer decisionTime;

    MeteredGate(SubmissionGate gate, MetricRegistry metrics) {
        this.gate = gate;
        this.metrics = metrics;
        this.decisionTime = metrics.timer(PREFIX + "decision.seconds");
    }

    @Override
    public CompletableFuture<SubmissionDecision> claim(Submission submission) {
        Timer.Context time = decisionTime.time();
        return gate.claim(submission).thenApply(decision -> {
            time.stop();
            metrics.counter(PREFIX + name(decision) + ".count").inc();
            return decision;
        });
    }

    private static String name(SubmissionDecision decision) {
        if (decision instanceof SubmissionDecision.Run) {
            return "claimed";
        }
        if (decision instanceof SubmissionDecision.Replay) {
            return "replayed";
        }
        return "rejected." + ((SubmissionDecision.Rejected) decision).code().name();
    }
}
