package org.dragonflygw.daemon.grant;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import java.util.List;
import java.util.Optional;
import org.dragonflygw.core.membership.Member;
import org.dragonflygw.core.retry.Quarantine;
import org.dragonflygw.core.routing.AttemptOutcome;
import org.dragonflygw.core.routing.SlotRequest;
import org.dragonflygw.core.timeline.EventRecorder;
import org.dragonflygw.core.timeline.EventSubject;
import org.dragonflygw.core.timeline.EventType;
import org.dragonflygw.daemon.peer.PeerClients;
import org.dragonflygw.daemon.peer.PeerException;
import org.dragonflygw.wire.gossip.QuarantineRow;
import org.dragonflygw.wire.grants.CrashReport;
import org.dragonflygw.wire.grants.GrantUpdate;
import org.dragonflygw.wire.grants.SuspectUpdate;

/**
 * Reports lost engines and the ends of suspected requests' attempts to the daemon that owns the request fingerprint. A
 * new quarantine is sent to all daemons directly, without waiting for gossip. Thread-safe.
 */
@Singleton
public final class CrashReporter {
    private static final int QUARANTINED_CRASHES = 2;
    private static final int CALL_TIMEOUT_MILLIS = 300;

    private final OwnershipView view;
    private final Quarantine quarantine;
    private final UpdateBatches batches;
    private final PeerClients peers;
    private final EventRecorder events;

    @Inject
    public CrashReporter(
            OwnershipView view, Quarantine quarantine, UpdateBatches batches, PeerClients peers, EventRecorder events) {
        this.peers = peers;
        this.view = view;
        this.quarantine = quarantine;
        this.batches = batches;
        this.events = events;
    }

    /** Reports the end of an attempt that this daemon dispatched. */
    void onAttemptEnd(SlotRequest request, String engineId, AttemptOutcome outcome) {
        if (outcome == AttemptOutcome.ENDPOINT_LOST) {
            reportLoss(request, engineId);
        }
        if (request.suspect()) {
            endSoloAttempt(request.fingerprint(), request.requestId(), outcome == AttemptOutcome.COMPLETED);
        }
    }

    /** Reports the end of the only attempt that a suspected request was allowed at the time. */
    void endSoloAttempt(long fingerprint, String requestId, boolean completed) {
        Optional<Member> owner = view.fingerprintOwner(fingerprint);
        if (owner.isEmpty() || view.isSelf(owner.get())) {
            quarantine.onSoloEnd(fingerprint, requestId, completed);
            return;
        }
        batches.addSuspect(owner.get(), new SuspectUpdate(fingerprint, requestId, true, completed));
    }

    /** Records the loss of an engine; called on the daemon that owns the fingerprint. */
    void recordLoss(long fingerprint, String engineId, String requestId) {
        int before = quarantine.crashes(fingerprint);
        int crashes = quarantine.onEngineLost(fingerprint, engineId, requestId);
        if (crashes < QUARANTINED_CRASHES || before >= QUARANTINED_CRASHES) {
            return;
        }
        events.record(
                EventType.FINGERPRINT_QUARANTINED,
                EventSubject.request(requestId, "", engineId, ""),
                "fingerprint " + Long.toHexString(fingerprint) + ", " + crashes + " engines lost");
        quarantine.entries().stream()
                .filter(entry -> entry.fingerprint() == fingerprint)
                .forEach(entry -> broadcast(new QuarantineRow(fingerprint, entry.crashes(), entry.untilMillis())));
    }

    private void reportLoss(SlotRequest request, String engineId) {
        Optional<Member> owner = view.fingerprintOwner(request.fingerprint());
        if (owner.isEmpty() || view.isSelf(owner.get())) {
            recordLoss(request.fingerprint(), engineId, request.requestId());
            return;
        }
        quarantine.onEngineLost(request.fingerprint(), engineId, request.requestId());
        CrashReport report = new CrashReport(request.fingerprint(), engineId, request.requestId());
        if (!sendNow(owner.get(), report)) {
            batches.addCrash(owner.get(), report);
        }
    }

    /** Reports a loss without batching: the owner must know of the loss before the request is retried. */
    private boolean sendNow(Member owner, CrashReport report) {
        GrantUpdate update = batches.emptyUpdate().setCrashes(List.of(report));
        try {
            peers.updateGrants(OwnershipView.address(owner), update, CALL_TIMEOUT_MILLIS);
            return true;
        } catch (PeerException e) {
            return false;
        }
    }

    private void broadcast(QuarantineRow row) {
        for (Member member : view.members()) {
            if (!view.isSelf(member)) {
                batches.addQuarantine(member, row);
            }
        }
    }
}
