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
 * Collects what other daemons must be told about grants, one batch for each. A batch that was not delivered is put back
 * until its grants have expired anyway. One lock guards the batches; no call is made under it.
 */
@Singleton
public final class UpdateBatches {
    private static final long KEEP_MILLIS = 20_000;
    private static final int MAX_ENTRIES = 20_000;

    private final HybridClock clock;
    private final Clock time;
    private final Map<String, Batch> batches = new HashMap<>();

    @Inject
    public UpdateBatches(HybridClock clock, Clock time) {
        this.clock = clock;
        this.time = time;
    }

    void addEnd(Member to, GrantEnd end) {
        add(to, batch -> batch.ends.add(end));
    }

    void addRenewal(Member to, GrantRenewal renewal) {
        add(to, batch -> batch.renewals.add(renewal));
    }

    void addSpill(Member to, ChatSpill spill) {
        add(to, batch -> batch.spills.add(spill));
    }

    void addCrash(Member to, CrashReport report) {
        add(to, batch -> batch.crashes.add(report));
    }

    void addSuspect(Member to, SuspectUpdate update) {
        add(to, batch -> batch.suspects.add(update));
    }

    void addQuarantine(Member to, QuarantineRow row) {
        add(to, batch -> batch.quarantined.add(row));
    }

    /** A message without entries. */
    GrantUpdate emptyUpdate() {
        org.dragonflygw.core.timeline.HybridTimestamp now = clock.now();
        return new GrantUpdate(List.of(), List.of(), new HybridTimestamp(now.physicalMillis(), now.logical()));
    }

    /** Takes the batches of all daemons but the given ones. */
    synchronized List<Batch> take(Set<String> leftOut) {
        List<Batch> taken = new ArrayList<>();
        batches.entrySet().removeIf(entry -> {
            boolean due = !leftOut.contains(entry.getKey());
            if (due) {
                taken.add(entry.getValue());
            }
            return due;
        });
        return taken;
    }

    /** Puts a batch back that was not delivered, unless it is too old. */
    synchronized void putBack(Batch batch) {
        if (time.millis() - batch.sinceMillis > KEEP_MILLIS) {
            return;
        }
        batch.renewals.clear();
        Batch newer = batches.put(batch.recipient.daemonId(), batch);
        if (newer != null) {
            batch.addAll(newer);
        }
    }

    private synchronized void add(Member to, java.util.function.Consumer<Batch> change) {
        Batch batch = batches.computeIfAbsent(to.daemonId(), id -> new Batch(to, time.millis()));
        if (batch.size() < MAX_ENTRIES) {
            change.accept(batch);
        }
    }

    /** What one daemon must be told. */
    final class Batch {
        private final Member recipient;
        private final long sinceMillis;
        private final List<GrantEnd> ends = new ArrayList<>();
        private final List<GrantRenewal> renewals = new ArrayList<>();
        private final List<ChatSpill> spills = new ArrayList<>();
        private final List<CrashReport> crashes = new ArrayList<>();
        private final List<SuspectUpdate> suspects = new ArrayList<>();
        private final List<QuarantineRow> quarantined = new ArrayList<>();

        private Batch(Member to, long sinceMillis) {
            this.recipient = to;
            this.sinceMillis = sinceMillis;
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
