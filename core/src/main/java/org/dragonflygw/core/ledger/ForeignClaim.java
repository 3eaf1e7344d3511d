package org.dragonflygw.core.ledger;

import java.util.Optional;
import org.dragonflygw.core.storage.StorageException;
import org.dragonflygw.core.storage.TableRow;
import org.dragonflygw.core.timeline.EventType;

/** Follows a key that another arrival claimed, until its outcome can be told or the deadline of this arrival passes. */
final class ForeignClaim {
    private final LedgerParts parts;
    private final Arrival arrival;
    private final ClaimAttempt attempt;
    private boolean watched;

    ForeignClaim(LedgerParts parts, Arrival arrival, ClaimAttempt attempt) {
        this.parts = parts;
        this.arrival = arrival;
        this.attempt = attempt;
    }

    /** Acts on the row of the key. */
    void judge(TableRow current) {
        Optional<SubmissionRow> seen = SubmissionCodec.decode(current);
        if (seen.isEmpty()) {
            attempt.finish(Rejections.outcomeUnknown());
            return;
        }
        SubmissionRow row = seen.get();
        switch (ClaimVerdict.of(row, arrival.submission(), mayEnd(row))) {
            case REPLAY -> startReplay(row);
            case CLAIM_AGAIN -> attempt.claimAgain(current.version());
            case WAIT -> watch();
            case OUTCOME_UNKNOWN -> attempt.finish(Rejections.outcomeUnknown());
            case KEY_REUSED -> attempt.finish(Rejections.keyReused());
        }
    }

    /** Whether the owner may still write the outcome. A claim of this process that it no longer holds has no owner. */
    private boolean mayEnd(SubmissionRow row) {
        long expectedUntil = row.ownerDeadlineMillis() + parts.limits().outcomeMarginMillis();
        return !row.owner().equals(parts.owner())
                && parts.clock().millis() < expectedUntil
                && parts.liveness().mayBeLive(row.owner());
    }

    private void startReplay(SubmissionRow row) {
        expireWith(Rejections.answerUnreadable());
        parts.timer().after(0, () -> replay(row));
    }

    private void replay(SubmissionRow row) {
        try {
            StoredAnswer answer = parts.answers().load(row.token(), row.answer().orElseThrow());
            arrival.record(parts.events(), EventType.CLAIM_REPLAYED, "run by " + row.requestId());
            attempt.finish(Replays.of(answer));
        } catch (StorageException e) {
            attempt.finish(Rejections.answerUnreadable());
        }
    }

    private void watch() {
        long remaining = arrival.remainingMillis(parts.clock().millis());
        if (remaining == 0) {
            attempt.finish(Rejections.inProgress());
            return;
        }
        if (!watched) {
            watched = true;
            expireWith(Rejections.inProgress());
            arrival.record(parts.events(), EventType.CLAIM_WAITED, "waits for another daemon");
        }
        parts.timer().after(Math.min(remaining, parts.limits().pollMillis()), this::poll);
    }

    private void poll() {
        try {
            Optional<TableRow> current = parts.store().read(SubmissionKeys.TABLE, attempt.rowKey());
            if (current.isPresent()) {
                judge(current.get());
                return;
            }
        } catch (StorageException e) {
            arrival.record(
                    parts.events(),
                    EventType.CLAIM_WAITED,
                    "read failed: " + e.code().name());
        }
        watch();
    }

    private void expireWith(SubmissionDecision decision) {
        long remaining = arrival.remainingMillis(parts.clock().millis());
        parts.timer().after(remaining, () -> arrival.complete(decision));
    }
}
