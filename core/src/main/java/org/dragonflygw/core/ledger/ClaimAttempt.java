package org.dragonflygw.core.ledger;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.dragonflygw.core.storage.Mutation;
import org.dragonflygw.core.storage.StorageCode;
import org.dragonflygw.core.storage.TableRow;
import org.dragonflygw.core.timeline.EventType;

/**
 * One arrival's way through the ledger: it claims the key, or watches the claim of another daemon, and writes the
 * outcome. Later arrivals of the key on this daemon join it. Each transition happens under the monitor of this object
 * and returns what is to be done after the monitor is left.
 */
final class ClaimAttempt implements Claim, WriteListener {
    private enum Phase {
        CLAIMING,
        HELD,
        WATCHING,
        /** The outcome is being written. */
        ENDING,
        /** Given up before the claim was certain; a row that may exist is being marked as not run. */
        ABANDONED,
        CLOSED
    }

    private final SubmissionLedger ledger;
    private final LedgerDependencies parts;
    private final PendingSubmission arrival;
    private final String rowKey;
    private final long createdNanos;
    private final SubmissionRow openRow;
    private final WaitingSubmissions joined;
    private Phase phase = Phase.CLAIMING;
    private long version;
    private SubmissionRow outcome;
    private StoredAnswer answer;

    ClaimAttempt(SubmissionLedger ledger, LedgerDependencies parts, PendingSubmission arrival, String token) {
        Submission submission = arrival.submission();
        this.ledger = ledger;
        this.parts = parts;
        this.arrival = arrival;
        this.rowKey = SubmissionKeys.rowKey(parts.deployment(), submission.team(), submission.key());
        this.joined = new WaitingSubmissions(parts);
        this.createdNanos = parts.nanoClock().getAsLong();
        this.openRow = new SubmissionRow(
                SubmissionState.OPEN,
                token,
                parts.owner(),
                submission.requestId(),
                submission.service(),
                submission.fingerprint(),
                parts.clock().millis(),
                submission.deadline().toEpochMilli(),
                Optional.empty());
    }

    String rowKey() {
        return rowKey;
    }

    /** Writes the claim. */
    void start() {
        writeClaim(Mutation.ABSENT);
    }

    /** Adds a later arrival of the key; false when the claim is closed and the arrival must start anew. */
    boolean join(PendingSubmission later) {
        Runnable next;
        synchronized (this) {
            if (phase == Phase.CLOSED) {
                return false;
            }
            next = joinOpen(later);
        }
        next.run();
        return true;
    }

    private Runnable joinOpen(PendingSubmission later) {
        if (later.submission().fingerprint() != arrival.submission().fingerprint()) {
            return () -> later.complete(Rejections.keyReused());
        }
        if (answer != null) {
            SubmissionDecision replay = Replays.of(answer);
            return () -> later.complete(replay);
        }
        if (outcome != null && outcome.state() == SubmissionState.UNKNOWN) {
            return () -> later.complete(Rejections.outcomeUnknown());
        }
        boolean certainlyNotRun = phase == Phase.ENDING || phase == Phase.ABANDONED;
        return certainlyNotRun ? joined.addUntilFree(later) : joined.addUntilOutcome(later);
    }

    @Override
    public boolean mayDispatch() {
        synchronized (this) {
            if (phase != Phase.HELD) {
                return false;
            }
        }
        long limitMillis = openRow.ownerDeadlineMillis() - openRow.claimedAtMillis();
        long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(parts.nanoClock().getAsLong() - createdNanos);
        return elapsedMillis < limitMillis && parts.clock().millis() < openRow.ownerDeadlineMillis();
    }

    @Override
    public void complete(StoredAnswer whole) {
        synchronized (this) {
            if (phase != Phase.HELD) {
                return;
            }
            phase = Phase.ENDING;
            answer = whole;
        }
        if (AnswerStore.needsObject(whole)) {
            parts.timer().schedule(0, () -> storeAnswer(whole));
        } else {
            storeAnswer(whole);
        }
    }

    private void storeAnswer(StoredAnswer whole) {
        SubmissionRow row = openRow.withAnswer(parts.answers().save(openRow.token(), whole));
        synchronized (this) {
            outcome = row;
        }
        answerJoined();
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
            arrival.recordEvent(parts.events(), EventType.CLAIM_OUTCOME_UNKNOWN, "no answer after dispatch");
        }
        answerJoined();
        writeOutcome();
    }

    /** Ends the waits that the outcome in memory can end, before it is written. */
    private void answerJoined() {
        SubmissionDecision decision;
        synchronized (this) {
            if (outcome.state() == SubmissionState.NOT_RUN) {
                return;
            }
            decision = answer == null ? Rejections.outcomeUnknown() : Replays.of(answer);
        }
        joined.completeAll(decision);
    }

    private void writeClaim(long expectedVersion) {
        long wait = Math.min(
                parts.limits().claimTimeoutMillis(),
                arrival.remainingMillis(parts.clock().millis()));
        parts.timer().schedule(wait, this::giveUpClaiming);
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
        parts.writer().write(mutation, this);
    }

    private void giveUpClaiming() {
        synchronized (this) {
            if (phase != Phase.CLAIMING) {
                return;
            }
            phase = Phase.ABANDONED;
        }
        reject(Rejections.unavailable());
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
                case CLAIMING -> hold();
                case ABANDONED -> outcome == null ? this::writeNotRun : this::close;
                case ENDING -> this::closeRecorded;
                default -> ClaimAttempt::doNothing;
            };
        }
        next.run();
    }

    private Runnable hold() {
        phase = Phase.HELD;
        return () -> {
            arrival.recordEvent(parts.events(), EventType.CLAIM_INSERTED, "token " + openRow.token());
            if (!arrival.complete(new SubmissionDecision.Run(this))) {
                markNotRun();
            }
        };
    }

    private void closeRecorded() {
        arrival.recordEvent(
                parts.events(),
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
                case CLAIMING -> meet(current);
                case ABANDONED -> fence(current, row);
                default -> this::close;
            };
        }
        next.run();
    }

    private Runnable meet(TableRow current) {
        phase = Phase.WATCHING;
        return () -> new ClaimWatcher(parts, arrival, this).handleRow(current);
    }

    /** Undoes a claim write that took effect after all; any other row keeps one from taking effect later. */
    private Runnable fence(TableRow current, Optional<SubmissionRow> row) {
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

    /** Claims a key that was certainly not run, on condition that its row has not changed. */
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
        boolean certain = code != StorageCode.OUTCOME_UNKNOWN;
        Runnable next;
        synchronized (this) {
            next = switch (phase) {
                case CLAIMING -> certain ? () -> endWithoutClaim(Rejections.unavailable()) : abandon();
                case ABANDONED -> certain && outcome == null ? this::close : this::retryOutcome;
                case ENDING -> this::retryOutcome;
                default -> ClaimAttempt::doNothing;
            };
        }
        next.run();
    }

    private Runnable abandon() {
        phase = Phase.ABANDONED;
        outcome = openRow.withState(SubmissionState.NOT_RUN);
        return () -> {
            reject(Rejections.unavailable());
            retryOutcome();
        };
    }

    private void retryOutcome() {
        joined.completeAll(Rejections.unavailable());
        if (parts.clock().millis() - openRow.claimedAtMillis() > parts.limits().outcomeWriteTimeoutMillis()) {
            close();
            return;
        }
        synchronized (this) {
            if (outcome == null) {
                outcome = openRow.withState(SubmissionState.NOT_RUN);
            }
        }
        parts.timer().schedule(parts.limits().outcomeRetryMillis(), this::writeOutcome);
    }

    /** Ends without a claim. What the ledger said of the key holds for the joined arrivals too. */
    void endWithoutClaim(SubmissionDecision decision) {
        reject(decision);
        boolean onlyOwnDeadline =
                decision instanceof SubmissionDecision.Rejected r && r.code() == LedgerCode.SUBMISSION_IN_PROGRESS;
        if (!onlyOwnDeadline) {
            joined.completeAll(decision);
        }
        close();
    }

    private void reject(SubmissionDecision decision) {
        if (decision instanceof SubmissionDecision.Rejected rejected) {
            arrival.recordEvent(
                    parts.events(), EventType.CLAIM_REFUSED, rejected.code().name());
        }
        arrival.complete(decision);
    }

    private void close() {
        synchronized (this) {
            phase = Phase.CLOSED;
        }
        ledger.remove(this);
        for (PendingSubmission later : joined.takeAll()) {
            ledger.startOrJoin(later);
        }
    }

    private static void doNothing() {}
}
