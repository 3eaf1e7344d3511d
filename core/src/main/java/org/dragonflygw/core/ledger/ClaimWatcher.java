package org.dragonflygw.core.ledger;

import java.util.Optional;
import org.dragonflygw.core.storage.StorageException;
import org.dragonflygw.core.storage.TableRow;
import org.dragonflygw.core.timeline.EventType;

/**
 * Resolves a submission whose key has an earlier claim in the table service: replays its answer, reclaims the key, or
 * polls the row until the outcome is known or the deadline of this submission passes. Its steps run one after another.
 */
final class ClaimWatcher {
    private final LedgerDependencies dependencies;
    private final PendingSubmission pending;
    private final ClaimAttempt attempt;
    private boolean waitRecorded;

    ClaimWatcher(LedgerDependencies dependencies, PendingSubmission pending, ClaimAttempt attempt) {
        this.dependencies = dependencies;
        this.pending = pending;
        this.attempt = attempt;
    }

    /** Acts on a version of the row of the key. */
    void handleRow(TableRow current) {
        Optional<SubmissionRow> seen = SubmissionCodec.decode(current);
        if (seen.isEmpty()) {
            attempt.endWithoutClaim(Rejections.outcomeUnknown());
            return;
        }
        SubmissionRow row = seen.get();
        switch (ClaimResolution.of(row, pending.submission(), ownerMayFinish(row))) {
            case REPLAY -> startReplay(row);
            case RECLAIM -> attempt.reclaim(current.version());
            case WAIT -> watch();
            case OUTCOME_UNKNOWN -> attempt.endWithoutClaim(Rejections.outcomeUnknown());
            case KEY_REUSED -> attempt.endWithoutClaim(Rejections.keyReused());
        }
    }

    /**
     * Whether the owner may still write the outcome. False for a claim of this process: if it were still open, the
     * submission would have joined it.
     */
    private boolean ownerMayFinish(SubmissionRow row) {
        long outcomeExpectedUntil =
                row.ownerDeadlineMillis() + dependencies.limits().outcomeGraceMillis();
        return !row.owner().equals(dependencies.owner())
                && dependencies.clock().millis() < outcomeExpectedUntil
                && dependencies.liveness().mayBeLive(row.owner());
    }

    private void startReplay(SubmissionRow row) {
        completeAtDeadline(Rejections.answerUnreadable());
        dependencies.timer().schedule(0, () -> replay(row));
    }

    private void replay(SubmissionRow row) {
        try {
            StoredAnswer answer =
                    dependencies.answers().load(row.token(), row.answer().orElseThrow());
            pending.recordEvent(dependencies.events(), EventType.CLAIM_REPLAYED, "run by " + row.requestId());
            attempt.endWithoutClaim(Replays.of(answer));
        } catch (StorageException e) {
            attempt.endWithoutClaim(Rejections.answerUnreadable());
        }
    }

    private void watch() {
        long remaining = pending.remainingMillis(dependencies.clock().millis());
        if (remaining == 0) {
            attempt.endWithoutClaim(Rejections.inProgress());
            return;
        }
        if (!waitRecorded) {
            waitRecorded = true;
            completeAtDeadline(Rejections.inProgress());
            pending.recordEvent(
                    dependencies.events(), EventType.CLAIM_WAITED, "waiting for the claim of another daemon");
        }
        dependencies.timer().schedule(Math.min(remaining, dependencies.limits().pollIntervalMillis()), this::poll);
    }

    private void poll() {
        try {
            Optional<TableRow> current = dependencies.store().read(SubmissionKeys.TABLE, attempt.rowKey());
            if (current.isPresent()) {
                handleRow(current.get());
                return;
            }
        } catch (StorageException e) {
            pending.recordEvent(
                    dependencies.events(),
                    EventType.CLAIM_WAITED,
                    "reading the claim row failed: " + e.code().name());
        }
        watch();
    }

    private void completeAtDeadline(SubmissionDecision decision) {
        long remaining = pending.remainingMillis(dependencies.clock().millis());
        dependencies.timer().schedule(remaining, () -> pending.complete(decision));
    }
}
