package org.dragonflygw.core.ledger;

import java.time.Duration;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.dragonflygw.core.timeline.EventRecorder;
import org.threeten.extra.MutableClock;

/** Ledgers of several daemons over one scripted store and one test clock, without threads. */
final class LedgerFixture {
    static final Instant START = Instant.parse("2026-12-03T08:00:00Z");
    static final LedgerLimits LIMITS = new LedgerLimits(10, 2_000, 250, 5_000, 500, 3_600_000);

    final MutableClock clock = MutableClock.of(START, ZoneOffset.UTC);
    final ScriptedStore store = new ScriptedStore();
    private final List<Daemon> daemons = new ArrayList<>();
    private final List<Task> tasks = new ArrayList<>();
    private long taskCount;

    Daemon daemon(String id, OwnerLiveness liveness) {
        Daemon daemon = new Daemon(id, daemons.size() + 1, liveness);
        daemons.add(daemon);
        return daemon;
    }

    Daemon daemon(String id) {
        return daemon(id, OwnerLiveness.ASSUME_LIVE);
    }

    /** Commits what is queued and runs the tasks due within the time. */
    void advance(long millis) {
        long end = clock.millis() + millis;
        commitAll();
        while (true) {
            Task next = tasks.stream()
                    .filter(t -> t.atMillis() <= end)
                    .min(Comparator.comparingLong(Task::atMillis).thenComparingLong(Task::number))
                    .orElse(null);
            if (next == null) {
                break;
            }
            tasks.remove(next);
            clock.setInstant(Instant.ofEpochMilli(Math.max(clock.millis(), next.atMillis())));
            next.action().run();
            commitAll();
        }
        clock.setInstant(Instant.ofEpochMilli(end));
        commitAll();
    }

    /** Moves the clock on without running anything. */
    void pause(Duration time) {
        clock.add(time);
    }

    private void commitAll() {
        for (Daemon daemon : daemons) {
            int settled;
            do {
                settled = daemon.committer.flush();
            } while (settled > 0 && daemon.committer.queued() > 0);
        }
    }

    Submission submission(String key, long fingerprint) {
        return new Submission(
                "r" + taskCount++,
                "clerks",
                "fees",
                key,
                fingerprint,
                clock.instant().plusSeconds(30));
    }

    private record Task(long atMillis, long number, Runnable action) {}

    final class Daemon {
        final GroupCommitter committer;
        final SubmissionLedger ledger;

        private Daemon(String id, long incarnation, OwnerLiveness liveness) {
            committer = new GroupCommitter(store, clock, new CommitLimits(10, 100, 3, 200), () -> {});
            ledger = new SubmissionLedger(new LedgerDependencies(
                    "peachtree",
                    new ClaimOwner(id, incarnation),
                    committer,
                    store,
                    new AnswerStore(store, "peachtree"),
                    (delay, action) -> tasks.add(new Task(clock.millis() + delay, taskCount++, action)),
                    clock,
                    () -> TimeUnit.MILLISECONDS.toNanos(clock.millis()),
                    liveness,
                    EventRecorder.DISCARD,
                    LIMITS));
        }

        CompletableFuture<SubmissionDecision> claim(String key) {
            return ledger.claim(submission(key, 7));
        }

        /** Claims a key that must be free. */
        Claim hold(String key) {
            CompletableFuture<SubmissionDecision> decision = claim(key);
            advance(0);
            return ((SubmissionDecision.Run) decision.join()).claim();
        }
    }
}
