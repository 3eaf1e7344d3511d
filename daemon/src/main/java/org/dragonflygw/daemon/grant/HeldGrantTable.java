package org.dragonflygw.daemon.grant;

import com.codahale.metrics.MetricRegistry;
import com.google.inject.Inject;
import com.google.inject.Singleton;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.dragonflygw.core.membership.Member;
import org.dragonflygw.core.routing.AttemptOutcome;
import org.dragonflygw.core.routing.EngineSteward;
import org.dragonflygw.core.routing.SlotDecision;
import org.dragonflygw.core.routing.SlotQuery;
import org.dragonflygw.wire.codec.GrantCodec;
import org.dragonflygw.wire.grants.GrantEnd;
import org.dragonflygw.wire.grants.GrantRenewal;

/**
 * The grants that requests of this daemon hold. Renews and ends the grants at their stewards, and asks a new steward to
 * adopt the grants of an earlier one. Thread-safe; entries are replaced, never modified.
 */
@Singleton
public final class HeldGrantTable {
    private final OwnershipView view;
    private final StewardTable stewards;
    private final UpdateBatches batches;
    private final CrashReporter crashReporter;
    private final Map<Long, HeldGrant> held = new ConcurrentHashMap<>();
    private final AtomicLong nextKey = new AtomicLong();

    @Inject
    public HeldGrantTable(
            OwnershipView view,
            StewardTable stewards,
            UpdateBatches batches,
            CrashReporter crashReporter,
            MetricRegistry metrics) {
        this.view = view;
        this.stewards = stewards;
        this.batches = batches;
        this.crashReporter = crashReporter;
        metrics.registerGauge("dragonflygw.grant.held.grants", held::size);
    }

    /** Adds a grant and returns its key in this table. */
    long add(SlotQuery question, String serviceName, SlotDecision decision) {
        long key = nextKey.incrementAndGet();
        held.put(
                key,
                new HeldGrant(
                        question.endpoint(), serviceName, question.request(), decision.epoch(), decision.grantId()));
        return key;
    }

    /** Removes a grant and reports its end; does nothing when the grant has ended before. */
    void end(long key, AttemptOutcome outcome) {
        HeldGrant grant = held.remove(key);
        if (grant == null) {
            return;
        }
        crashReporter.onAttemptEnd(grant.request(), grant.endpoint().id(), outcome);
        notifyEnd(grant, outcome);
    }

    /** Renews all grants: immediately at stewards in this process, at others with the next update batch. */
    void renewAll() {
        Map<String, GrantRenewal> renewals = new HashMap<>();
        Map<String, Member> owners = new HashMap<>();
        held.forEach((key, grant) -> {
            Optional<Member> owner =
                    view.engineSteward(grant.endpoint().id(), grant.endpoint().region());
            if (owner.isEmpty()) {
                return;
            }
            if (view.isSelf(owner.get())) {
                renewLocally(key, grant);
                return;
            }
            String engineId = grant.endpoint().id();
            owners.put(engineId, owner.get());
            renewals.computeIfAbsent(
                            engineId + " " + grant.epoch(),
                            name -> new GrantRenewal(engineId, grant.epoch(), new ArrayList<>()))
                    .addToGrantIds(grant.grantId());
        });
        renewals.values().forEach(renewal -> batches.addRenewal(owners.get(renewal.getEngineId()), renewal));
    }

    /** Returns the held grants named by the renewals that a steward did not know, so that the steward can adopt them. */
    List<Map.Entry<Long, HeldGrant>> find(List<GrantRenewal> unknown) {
        List<Map.Entry<Long, HeldGrant>> found = new ArrayList<>();
        for (GrantRenewal renewal : unknown) {
            for (Map.Entry<Long, HeldGrant> entry : held.entrySet()) {
                HeldGrant grant = entry.getValue();
                boolean named = grant.endpoint().id().equals(renewal.getEngineId())
                        && grant.epoch() == renewal.getEpoch()
                        && renewal.getGrantIds().contains(grant.grantId());
                if (named) {
                    found.add(entry);
                }
            }
        }
        return found;
    }

    /** Replaces a grant by the one that a new steward adopted; ends the new grant when the old one has ended meanwhile. */
    void replace(long key, HeldGrant before, SlotDecision decision) {
        HeldGrant after = before.withSteward(decision.epoch(), decision.grantId());
        if (!held.replace(key, before, after)) {
            notifyEnd(after, AttemptOutcome.CANCELLED);
        }
    }

    private void renewLocally(long key, HeldGrant grant) {
        Optional<EngineSteward> steward = stewards.find(grant.endpoint().id());
        if (steward.isPresent() && !steward.get().renew(grant.grantId(), grant.epoch())) {
            replace(key, grant, steward.get().adopt(grant.request()));
        }
    }

    private void notifyEnd(HeldGrant grant, AttemptOutcome outcome) {
        String engineId = grant.endpoint().id();
        Optional<Member> owner = view.engineSteward(engineId, grant.endpoint().region());
        if (owner.isEmpty()) {
            return;
        }
        if (view.isSelf(owner.get())) {
            stewards.find(engineId).ifPresent(steward -> steward.end(grant.grantId(), grant.epoch(), outcome));
            return;
        }
        batches.addEnd(
                owner.get(),
                new GrantEnd(
                        engineId,
                        grant.grantId(),
                        grant.epoch(),
                        GrantCodec.toWire(outcome),
                        grant.request().fingerprint()));
    }
}
