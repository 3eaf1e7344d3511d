package org.dragonflygw.daemon.grant;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import java.time.Clock;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.dragonflygw.core.membership.Member;
import org.dragonflygw.core.timeline.HybridClock;
import org.dragonflygw.wire.clock.HybridTimestamp;
import org.dragonflygw.wire.gossip.QuarantineRow;
import org.dragonflygw.wire.grants.ChatSpill;
import org.dragonflygw.wire.grants.CrashReport;
import org.dragonflygw.wire.grants.GrantEnd;
import org.dragonflygw.wire.grants.GrantRenewal;
import org.dragonflygw.wire.grants.GrantUpdate;
import org.dragonflygw.wire.grants.SuspectUpdate;

/**
 * Collects updates about grants for other daemons, one batch per daemon. An undelivered batch is put back for another
 * attempt until its grants have expired anyway. Thread-safe: one lock guards the batches, and no call is made under the
 * lock.
 */
@Singleton
public final class UpdateBatches {
    private static final long MAX_AGE_MILLIS = 20_000;
    private static final int MAX_ENTRIES = 20_000;

    private final HybridClock hybridClock;
    private final Clock clock;
    private final Map<String, Batch> batches = new HashMap<>();

    @Inject
    public UpdateBatches(HybridClock hybridClock, Clock clock) {
        this.hybridClock = hybridClock;
        this.clock = clock;
    }

    void addEnd(Member recipient, GrantEnd end) {
        add(recipient, batch -> batch.ends.add(end));
    }

    void addRenewal(Member recipient, GrantRenewal renewal) {
        add(recipient, batch -> batch.renewals.add(renewal));
    }

    void addSpill(Member recipient, ChatSpill spill) {
        add(recipient, batch -> batch.spills.add(spill));
    }

    void addCrash(Member recipient, CrashReport report) {
        add(recipient, batch -> batch.crashes.add(report));
    }

    void addSuspect(Member recipient, SuspectUpdate update) {
        add(recipient, batch -> batch.suspects.add(update));
    }

    void addQuarantine(Member recipient, QuarantineRow row) {
        add(recipient, batch -> batch.quarantined.add(row));
    }

    /** Returns an update without entries that has the current hybrid time. */
    GrantUpdate emptyUpdate() {
        org.dragonflygw.core.timeline.HybridTimestamp now = hybridClock.now();
        return new GrantUpdate(List.of(), List.of(), new HybridTimestamp(now.physicalMillis(), now.logical()));
    }

    /** Removes and returns the batches of all daemons except those with the given ids. */
    synchronized List<Batch> take(Set<String> excludedIds) {
        List<Batch> taken = new ArrayList<>();
        batches.entrySet().removeIf(entry -> {
            boolean due = !excludedIds.contains(entry.getKey());
            if (due) {
                taken.add(entry.getValue());
            }
            return due;
        });
        return taken;
    }

    /** Puts an undelivered batch back, without its renewals, unless the batch is too old. */
    synchronized void putBack(Batch batch) {
        if (clock.millis() - batch.createdMillis > MAX_AGE_MILLIS) {
            return;
        }
        batch.renewals.clear();
        Batch newer = batches.put(batch.recipient.daemonId(), batch);
        if (newer != null) {
            batch.addAll(newer);
        }
    }

    private synchronized void add(Member recipient, java.util.function.Consumer<Batch> change) {
        Batch batch = batches.computeIfAbsent(recipient.daemonId(), id -> new Batch(recipient, clock.millis()));
        if (batch.size() < MAX_ENTRIES) {
            change.accept(batch);
        }
    }

    /** The pending updates of one daemon. */
    final class Batch {
        private final Member recipient;
        private final long createdMillis;
        private final List<GrantEnd> ends = new ArrayList<>();
        private final List<GrantRenewal> renewals = new ArrayList<>();
        private final List<ChatSpill> spills = new ArrayList<>();
        private final List<CrashReport> crashes = new ArrayList<>();
        private final List<SuspectUpdate> suspects = new ArrayList<>();
        private final List<QuarantineRow> quarantined = new ArrayList<>();

        private Batch(Member recipient, long createdMillis) {
            this.recipient = recipient;
            this.createdMillis = createdMillis;
        }

        Member recipient() {
            return recipient;
        }

        GrantUpdate toMessage() {
            GrantUpdate update = emptyUpdate().setEnds(ends).setRenewals(renewals);
            if (!spills.isEmpty()) {
                update.setSpills(spills);
            }
            if (!crashes.isEmpty()) {
                update.setCrashes(crashes);
            }
            if (!suspects.isEmpty()) {
                update.setSuspects(suspects);
            }
            if (!quarantined.isEmpty()) {
                update.setQuarantined(quarantined);
            }
            return update;
        }

        private int size() {
            return ends.size() + renewals.size() + spills.size() + crashes.size() + suspects.size();
        }

        private void addAll(Batch newer) {
            ends.addAll(newer.ends);
            renewals.addAll(newer.renewals);
            spills.addAll(newer.spills);
            crashes.addAll(newer.crashes);
            suspects.addAll(newer.suspects);
            quarantined.addAll(newer.quarantined);
        }
    }
}
