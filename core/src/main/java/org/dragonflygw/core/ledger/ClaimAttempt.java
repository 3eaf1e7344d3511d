package org.dragonflygw.core.ledger;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.dragonflygw.core.storage.Mutation;
import org.dragonflygw.core.storage.StorageCode;
import org.dragonflygw.core.storage.TableRow;
import org.dragonflygw.core.timeline.EventType;

/**
 * State machine of one submission in the ledger: it claims the key, or watches the existing claim of another daemon,
 * and writes the outcome. Repeats of the key on this daemon join it. Thread-safe: each transition happens under this
 * object's monitor and returns an action that runs after the monitor is released.
 */
final class ClaimAttempt implements Claim, WriteListener {
    private enum Phase {
        /** The claim row is being written. */
        CLAIMING,
        /** The claim is held; the submission may be dispatched. */
        HELD,
        /** Another claim has the key; its row is polled. */
        WATCHING,
        /** The outcome is being written. */
        ENDING,
        /** The claim write timed out or its outcome is unknown; a row that it may have left is being marked NOT_RUN. */
        ABANDONED,
        CLOSED
    }

    private final SubmissionLedger ledger;
    private final LedgerDependencies dependencies;
    private final PendingSubmission pending;
    private final String rowKey;
    private final long createdNanos;
    private final SubmissionRow openRow;
    private final WaitingSubmissions waiting;
    private Phase phase = Phase.CLAIMING;
    private long version;
    private SubmissionRow outcome;
    private StoredAnswer answer;

    ClaimAttempt(SubmissionLedger ledger, LedgerDependencies dependencies, PendingSubmission pending, String token) {
        Submission submission = pending.submission();
        this.ledger = ledger;
        this.dependencies = dependencies;
        this.pending = pending;
        this.rowKey = SubmissionKeys.rowKey(dependencies.deployment(), submission.team(), submission.key());
        this.waiting = new WaitingSubmissions(dependencies);
        this.createdNanos = dependencies.nanoClock().getAsLong();
        this.openRow = new SubmissionRow(
                SubmissionState.OPEN,
                token,
                dependencies.owner(),
                submission.requestId(),
                submission.service(),
                submission.fingerprint(),
                dependencies.clock().millis(),
                submission.deadline().toEpochMilli(),
                Optional.empty());
    }

    String rowKey() {
        return rowKey;
    }

    /** Starts to write the claim row. */
    void start() {
        writeClaim(Mutation.ABSENT);
    }

    /** Adds a repeat of the key; returns false if this attempt is closed and the repeat needs an attempt of its own. */
    boolean join(PendingSubmission repeat) {
        Runnable next;
        synchronized (this) {
            if (phase == Phase.CLOSED) {
                return false;
            }
            next = joinLocked(repeat);
        }
        next.run();
        return true;
    }

    private Runnable joinLocked(PendingSubmission repeat) {
        if (repeat.submission().fingerprint() != pending.submission().fingerprint()) {
            return () -> repeat.complete(Rejections.keyReused());
        }
        if (answer != null) {
            SubmissionDecision replay = Replays.of(answer);
            return () -> repeat.complete(replay);
        }
        if (outcome != null && outcome.state() == SubmissionState.UNKNOWN) {
            return () -> repeat.complete(Rejections.outcomeUnknown());
        }
        boolean notRun = phase == Phase.ENDING || phase == Phase.ABANDONED;
        return notRun ? waiting.addUntilFree(repeat) : waiting.addUntilOutcome(repeat);
    }

    @Override
    public boolean mayDispatch() {
        synchronized (this) {
            if (phase != Phase.HELD) {
                return false;
            }
        }
        long limitMillis = openRow.ownerDeadlineMillis() - openRow.claimedAtMillis();
        long elapsedMillis =
                TimeUnit.NANOSECONDS.toMillis(dependencies.nanoClock().getAsLong() - createdNanos);
        return elapsedMillis < limitMillis && dependencies.clock().millis() < openRow.ownerDeadlineMillis();
    }

    @Override
    public void complete(StoredAnswer completedAnswer) {
        synchronized (this) {
            if (phase != Phase.HELD) {
                return;
            }
            phase = Phase.ENDING;
            answer = completedAnswer;
        }
        if (AnswerStore.needsObject(completedAnswer)) {
            dependencies.timer().schedule(0, () -> storeAnswer(completedAnswer));
        } else {
            storeAnswer(completedAnswer);
        }
    }

    private void storeAnswer(StoredAnswer completedAnswer) {
        SubmissionRow row = openRow.withAnswer(dependencies.answers().save(openRow.token(), completedAnswer));
        synchronized (this) {
            outcome = row;
        }
        completeWaiting();
        writeOutcome();
    }

    @Override
    public void markNotRun() {
        end(SubmissionState.NOT_RUN);
    }

    @Override
    public void markOutcomeUnknown() {
        end(SubmissionState.UNKNOWN);
    }

    private void end(SubmissionState state) {
        synchronized (this) {
            if (phase != Phase.HELD) {
                return;
            }
            phase = Phase.ENDING;
            outcome = openRow.withState(state);
        }
        if (state == SubmissionState.UNKNOWN) {
            pending.recordEvent(dependencies.events(), EventType.CLAIM_OUTCOME_UNKNOWN, "no answer after dispatch");
        }
        completeWaiting();
        writeOutcome();
    }

    /** Completes the waiting repeats from the outcome in memory, before it is written; not for NOT_RUN. */
    private void completeWaiting() {
        SubmissionDecision decision;
        synchronized (this) {
            if (outcome.state() == SubmissionState.NOT_RUN) {
                return;
            }
            decision = answer == null ? Rejections.outcomeUnknown() : Replays.of(answer);
        }
        waiting.completeAll(decision);
    }

    private void writeClaim(long expectedVersion) {
        long timeoutMillis = Math.min(
                dependencies.limits().claimTimeoutMillis(),
                pending.remainingMillis(dependencies.clock().millis()));
        dependencies.timer().schedule(timeoutMillis, this::onClaimTimeout);
        write(expectedVersion, openRow);
    }

    private void writeOutcome() {
        long expected;
        SubmissionRow row;
        synchronized (this) {
            expected = version;
            row = outcome;
        }
        write(expected, row);
    }

    private void write(long expectedVersion, SubmissionRow row) {
        Mutation mutation =
                new Mutation(SubmissionKeys.TABLE, rowKey, expectedVersion, Optional.of(SubmissionCodec.encode(row)));
        dependencies.writer().write(mutation, this);
    }

    private void onClaimTimeout() {
        synchronized (this) {
            if (phase != Phase.CLAIMING) {
                return;
            }
            phase = Phase.ABANDONED;
        }
        completePending(Rejections.unavailable());
    }

    @Override
    public boolean isWanted() {
        synchronized (this) {
            return phase != Phase.ABANDONED || outcome != null;
        }
    }

    @Override
    public void onWritten(long newVersion) {
        Runnable next;
        synchronized (this) {
            version = newVersion;
            next = switch (phase) {
                case CLAIMING -> onClaimWritten();
                case ABANDONED -> outcome == null ? this::writeNotRun : this::close;
                case ENDING -> this::closeAfterOutcome;
                default -> ClaimAttempt::doNothing;
            };
        }
        next.run();
    }

    private Runnable onClaimWritten() {
        phase = Phase.HELD;
        return () -> {
            pending.recordEvent(dependencies.events(), EventType.CLAIM_INSERTED, "token " + openRow.token());
            if (!pending.complete(new SubmissionDecision.Run(this))) {
                markNotRun();
            }
        };
    }

    private void closeAfterOutcome() {
        pending.recordEvent(
                dependencies.events(),
                EventType.CLAIM_OUTCOME_RECORDED,
                outcome.state().name());
        close();
    }

    @Override
    public void onConflict(TableRow current) {
        Optional<SubmissionRow> row = SubmissionCodec.decode(current);
        Runnable next;
        synchronized (this) {
            next = switch (phase) {
                case CLAIMING -> watchExistingClaim(current);
                case ABANDONED -> undoLateClaim(current, row);
                default -> this::close;
            };
        }
        next.run();
    }

    private Runnable watchExistingClaim(TableRow current) {
        phase = Phase.WATCHING;
        return () -> new ClaimWatcher(dependencies, pending, this).handleRow(current);
    }

    /**
     * Marks the row NOT_RUN if it is the claim of this attempt, whose write took effect late. Any other row no
     * longer has the expected version, so that the claim write cannot take effect later.
     */
    private Runnable undoLateClaim(TableRow current, Optional<SubmissionRow> row) {
        if (row.isEmpty() || !row.get().token().equals(openRow.token())) {
            return this::close;
        }
        version = current.version();
        return this::writeNotRun;
    }

    private void writeNotRun() {
        synchronized (this) {
            outcome = openRow.withState(SubmissionState.NOT_RUN);
        }
        writeOutcome();
    }

    /** Claims a key whose row says NOT_RUN, on condition that the row still has the given version. */
    void reclaim(long rowVersion) {
        synchronized (this) {
            if (phase == Phase.CLOSED) {
                return;
            }
            phase = Phase.CLAIMING;
            version = rowVersion;
        }
        writeClaim(rowVersion);
    }

    @Override
    public void onFailed(StorageCode code) {
        boolean noEffect = code != StorageCode.OUTCOME_UNKNOWN;
        Runnable next;
        synchronized (this) {
            next = switch (phase) {
                case CLAIMING -> noEffect ? () -> endWithoutClaim(Rejections.unavailable()) : abandonUncertainClaim();
                case ABANDONED -> noEffect && outcome == null ? this::close : this::scheduleOutcomeRetry;
                case ENDING -> this::scheduleOutcomeRetry;
                default -> ClaimAttempt::doNothing;
            };
        }
        next.run();
    }

    private Runnable abandonUncertainClaim() {
        phase = Phase.ABANDONED;
        outcome = openRow.withState(SubmissionState.NOT_RUN);
        return () -> {
            completePending(Rejections.unavailable());
            scheduleOutcomeRetry();
        };
    }

    private void scheduleOutcomeRetry() {
        waiting.completeAll(Rejections.unavailable());
        if (dependencies.clock().millis() - openRow.claimedAtMillis()
                > dependencies.limits().outcomeWriteTimeoutMillis()) {
            close();
            return;
        }
        synchronized (this) {
            if (outcome == null) {
                outcome = openRow.withState(SubmissionState.NOT_RUN);
            }
        }
        dependencies.timer().schedule(dependencies.limits().outcomeRetryMillis(), this::writeOutcome);
    }

    /**
     * Ends this attempt without a claim. Waiting repeats get the same decision, unless only the deadline of this
     * submission has passed.
     */
    void endWithoutClaim(SubmissionDecision decision) {
        completePending(decision);
        boolean onlyOwnDeadlinePassed =
                decision instanceof SubmissionDecision.Rejected r && r.code() == LedgerCode.SUBMISSION_IN_PROGRESS;
        if (!onlyOwnDeadlinePassed) {
            waiting.completeAll(decision);
        }
        close();
    }

    private void completePending(SubmissionDecision decision) {
        if (decision instanceof SubmissionDecision.Rejected rejected) {
            pending.recordEvent(
                    dependencies.events(),
                    EventType.CLAIM_REFUSED,
                    rejected.code().name());
        }
        pending.complete(decision);
    }

    private void close() {
        synchronized (this) {
            phase = Phase.CLOSED;
        }
        ledger.remove(this);
        for (PendingSubmission repeat : waiting.takeAll()) {
            ledger.startOrJoin(repeat);
        }
    }

    private static void doNothing() {}
}
