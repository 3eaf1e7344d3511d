package org.dragonflygw.daemon.grant;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import java.util.Optional;
import org.dragonflygw.core.fleet.Endpoint;
import org.dragonflygw.core.membership.Member;
import org.dragonflygw.wire.grants.ChatSpill;

/** Notifies the owners of engines and fingerprints of the results of a slot search. Thread-safe. */
@Singleton
public final class OwnerNotifier {
    private final OwnershipView view;
    private final StewardTable stewards;
    private final UpdateBatches batches;
    private final CrashReporter crashReporter;

    @Inject
    public OwnerNotifier(
            OwnershipView view, StewardTable stewards, UpdateBatches batches, CrashReporter crashReporter) {
        this.view = view;
        this.stewards = stewards;
        this.batches = batches;
        this.crashReporter = crashReporter;
    }

    /** Notifies the steward of a chat's first-choice engine that the chat went to another engine. */
    void notifySpill(Endpoint first, long chatHash, Endpoint to) {
        Optional<Member> owner = view.engineSteward(first.id(), first.region());
        if (owner.isEmpty()) {
            return;
        }
        if (view.isSelf(owner.get())) {
            stewards.find(first.id()).ifPresent(steward -> steward.recordSpill(chatHash, to.id()));
            return;
        }
        batches.addSpill(owner.get(), new ChatSpill(first.id(), chatHash, to.id()));
    }

    /** Notifies the owner of a fingerprint that the only allowed attempt was not made. */
    void notifySoloEnded(long fingerprint, String requestId) {
        crashReporter.endSoloAttempt(fingerprint, requestId, false);
    }
}
