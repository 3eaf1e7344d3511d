package org.dragonflygw.daemon.grant;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import java.util.Optional;
import org.dragonflygw.core.fleet.Endpoint;
import org.dragonflygw.core.membership.Member;
import org.dragonflygw.wire.grants.ChatSpill;

/** Tells owners what they should remember of a search. Safe from every thread. */
@Singleton
public final class OwnerNotifier {
    private final OwnershipView view;
    private final StewardTable stewards;
    private final UpdateBatches batches;
    private final CrashReporter crashes;

    @Inject
    public OwnerNotifier(OwnershipView view, StewardTable stewards, UpdateBatches batches, CrashReporter crashes) {
        this.view = view;
        this.stewards = stewards;
        this.batches = batches;
        this.crashes = crashes;
    }

    /** Tells the steward of a chat's first engine where the chat went. */
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

    /** Tells the owner of a fingerprint that the only allowed attempt was not made. */
    void notifySoloEnded(long fingerprint, String requestId) {
        crashes.endSoloAttempt(fingerprint, requestId, false);
    }
}
