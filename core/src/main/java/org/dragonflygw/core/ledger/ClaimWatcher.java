package org.dragonflygw.core.ledger;

import java.util.Optional;
import org.dragonflygw.core.storage.StorageException;
import org.dragonflygw.core.storage.TableRow;
import org.dragonflygw.core.timeline.EventType;

/** Follows a key that another arrival claimed, until its outcome can be told or the deadline of this arrival passes. */
final class ClaimWatcher {
    private final LedgerDependencies parts;
    private final PendingSubmission arrival;
    private final ClaimAttempt attempt;
    private boolean watched;

    ClaimWatcher(LedgerDependencies parts, PendingSubmission arrival, ClaimAttempt attempt) {
        this.parts = parts;
        this.arrival = arrival;
        this.attempt = attempt;
    }

    /** Acts on the row of the key. */
    void handleRow(TableRow current) {
        Optional<SubmissionRow> seen = SubmissionCodec.decode(current);
        if (seen.isEmpty()) {
            attempt.endWithoutClaim(Rejections.outcomeUnknown());
            return;
        }
        SubmissionRow row = seen.get();
        switch (ClaimResolution.of(row, arrival.submission(), mayEnd(row))) {
            case REPLAY -> startReplay(row);
            case RECLAIM -> attempt.reclaim(current.version());
            case WAIT -> watch();
            case OUTCOME_UNKNOWN -> attempt.endWithoutClaim(Rejections.outcomeUnknown());
            case KEY_REUSED -> attempt.endWithoutClaim(Rejections.keyReused());
        }
    }

    /** Whether the owner may still write the outcome. A claim of this process that it no longer holds has no owner. */
    private boolean mayEnd(SubmissionRow row) {
        long expectedUntil = row.ownerDeadlineMillis() + parts.limits().outcomeGraceMillis();
        return !row.owner().equals(parts.owner())
                && parts.clock().millis() < expectedUntil
                && parts.liveness().mayBeLive(row.owner());
    }

    private void startReplay(SubmissionRow row) {
        expireWith(Rejections.answerUnreadable());
        parts.timer().schedule(0, () -> replay(row));
    }

    private void replay(SubmissionRow row) {
        try {
            StoredAnswer answer = parts.answers().load(row.token(), row.answer().orElseThrow());
            arrival.recordEvent(parts.events(), EventType.CLAIM_REPLAYED, "run by " + row.requestId());
            attempt.endWithoutClaim(Replays.of(answer));
        } catch (StorageException e) {
            attempt.endWithoutClaim(Rejections.answerUnreadable());
        }
    }

    private void watch() {
        long remaining = arrival.remainingMillis(parts.clock().millis());
        if (remaining == 0) {
            attempt.endWithoutClaim(Rejections.inProgress());
            return;
        }
        if (!watched) {
            watched = true;
            expireWith(Rejections.inProgress());
            arrival.recordEvent(parts.events(), EventType.CLAIM_WAITED, "waits for another daemon");
        }
        parts.timer().schedule(Math.min(remaining, parts.limits().pollIntervalMillis()), this::poll);
    }

    private void poll() {
        try {
            Optional<TableRow> current = parts.store().read(SubmissionKeys.TABLE, attempt.rowKey());
            if (current.isPresent()) {
                handleRow(current.get());
                return;
            }
        } catch (StorageException e) {
            arrival.recordEvent(
                    parts.events(),
                    EventType.CLAIM_WAITED,
                    "read failed: " + e.code().name());
        }
        watch();
    }

    private void expireWith(SubmissionDecision decision) {
        long remaining = arrival.remainingMillis(parts.clock().millis());
        parts.timer().schedule(remaining, () -> arrival.complete(decision));
    }
}
