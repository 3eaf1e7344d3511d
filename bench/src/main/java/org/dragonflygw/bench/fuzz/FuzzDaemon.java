package org.dragonflygw.bench.fuzz;

import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.dragonflygw.core.ledger.AnswerStore;
import org.dragonflygw.core.ledger.ClaimOwner;
import org.dragonflygw.core.ledger.CommitLimits;
import org.dragonflygw.core.ledger.GroupCommitter;
import org.dragonflygw.core.ledger.LedgerDependencies;
import org.dragonflygw.core.ledger.LedgerLimits;
import org.dragonflygw.core.ledger.OwnerLiveness;
import org.dragonflygw.core.ledger.SubmissionLedger;
import org.dragonflygw.core.retry.BudgetedRetryPolicy;
import org.dragonflygw.core.retry.RetryBudgets;
import org.dragonflygw.core.retry.RetryPolicy;
import org.dragonflygw.core.timeline.EventRecorder;

/**
 * A simulated router process: the production ledger and retry policy, with a clock skewed against virtual time. Not
 * thread-safe.
 */
final class FuzzDaemon {
    private static final String DEPLOYMENT = "peachtree";
    private static final long FLUSH_INTERVAL_MILLIS = 25;
    private static final int MAX_CONCURRENT_FLUSHES = 2;
    private static final int MAX_ATTEMPTS = 3;

    private final String id;
    private final VirtualTime time;
    private final InstantSource clock;
    private final GroupCommitter committer;
    private final SubmissionLedger ledger;
    private final RetryPolicy retries;
    private final Set<FuzzRequest> open = new LinkedHashSet<>();
    private final ArrayDeque<Runnable> backlog = new ArrayDeque<>();
    private boolean alive = true;
    private long pausedUntilMillis;
    private boolean flushScheduled;
    private int flushes;

    FuzzDaemon(String id, long incarnation, long skewMillis, VirtualTime time, FuzzStore store) {
        this.id = id;
        this.time = time;
        this.clock = () -> Instant.ofEpochMilli(time.millis() + skewMillis);
        this.committer = new GroupCommitter(store, clock, CommitLimits.DEFAULT, this::scheduleFlush);
        this.retries = new BudgetedRetryPolicy(MAX_ATTEMPTS, new RetryBudgets(clock));
        this.ledger = new SubmissionLedger(new LedgerDependencies(
                DEPLOYMENT,
                new ClaimOwner(id, incarnation),
                committer,
                store,
                new AnswerStore(store, DEPLOYMENT),
                this::schedule,
                clock,
                time::nanos,
                OwnerLiveness.ASSUME_LIVE,
                EventRecorder.DISCARD,
                LedgerLimits.DEFAULT));
    }

    String id() {
        return id;
    }

    InstantSource clock() {
        return clock;
    }

    SubmissionLedger ledger() {
        return ledger;
    }

    RetryPolicy retries() {
        return retries;
    }

    void addRequest(FuzzRequest request) {
        open.add(request);
    }

    void removeRequest(FuzzRequest request) {
        open.remove(request);
    }

    /**
     * Runs a task of this process. During a pause, tasks wait and then run in order; after a crash, tasks are dropped.
     */
    void run(Runnable task) {
        if (!alive) {
            return;
        }
        if (time.millis() < pausedUntilMillis || !backlog.isEmpty()) {
            backlog.add(task);
            return;
        }
        task.run();
    }

    void schedule(long delayMillis, Runnable task) {
        time.schedule(delayMillis, () -> run(task));
    }

    /** Pauses the whole process for the given time; its clocks continue to run. */
    void pause(long millis) {
        pausedUntilMillis = Math.max(pausedUntilMillis, time.millis() + millis);
        time.schedule(millis, this::resume);
    }

    private void resume() {
        while (alive && !backlog.isEmpty() && time.millis() >= pausedUntilMillis) {
            backlog.poll().run();
        }
    }

    /** Crashes the process and returns the requests that were open. */
    List<FuzzRequest> crash() {
        alive = false;
        List<FuzzRequest> broken = new ArrayList<>(open);
        open.clear();
        return broken;
    }

    /** Returns whether no open claim, queued write or open request remains. */
    boolean isIdle() {
        return ledger.openClaims() == 0 && committer.queued() == 0 && open.isEmpty();
    }

    private void scheduleFlush() {
        if (!flushScheduled) {
            flushScheduled = true;
            schedule(FLUSH_INTERVAL_MILLIS, this::flush);
        }
    }

    private void flush() {
        flushScheduled = false;
        if (flushes < MAX_CONCURRENT_FLUSHES) {
            flushes++;
            committer.flush();
            flushes--;
        }
        if (committer.queued() > 0) {
            scheduleFlush();
        }
    }
}
