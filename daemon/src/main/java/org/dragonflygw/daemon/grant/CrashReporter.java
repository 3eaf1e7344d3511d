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
 * Tells the owner of a request fingerprint how attempts of suspected requests ended and which engines were lost. A new
 * quarantine is told to all daemons at once, ahead of gossip. Safe from every thread.
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

    /** Notes the end of an attempt of this daemon. */
    void onAttemptEnd(SlotRequest request, String engineId, AttemptOutcome outcome) {
        if (outcome == AttemptOutcome.ENDPOINT_LOST) {
            reportLoss(request, engineId);
        }
        if (request.suspect()) {
            endSoloAttempt(request.fingerprint(), request.requestId(), outcome == AttemptOutcome.COMPLETED);
        }
    }

    /** Ends the only allowed attempt of a suspected request. */
    void endSoloAttempt(long fingerprint, String requestId, boolean completed) {
        Optional<Member> owner = view.fingerprintOwner(fingerprint);
        if (owner.isEmpty() || view.isSelf(owner.get())) {
            quarantine.onSoloEnd(fingerprint, requestId, completed);
            return;
        }
        batches.addSuspect(owner.get(), new SuspectUpdate(fingerprint, requestId, true, completed));
    }

    /** Notes a loss as the owner of the fingerprint. */
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

    /** The owner must know of the loss before the request is tried again. */
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
