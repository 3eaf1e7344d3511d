package org.dragonflygw.daemon.grant;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import java.time.Clock;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.dragonflygw.core.config.SheetSource;
import org.dragonflygw.core.config.Team;
import org.dragonflygw.core.limits.TeamRateSteward;
import org.dragonflygw.core.limits.TeamTokens;
import org.dragonflygw.core.retry.Quarantine;
import org.dragonflygw.core.retry.QuarantineEntry;
import org.dragonflygw.core.routing.EndpointLoad;
import org.dragonflygw.core.routing.EngineSteward;
import org.dragonflygw.core.routing.PoolLoad;
import org.dragonflygw.core.routing.SlotDecision;
import org.dragonflygw.core.routing.SlotRequest;
import org.dragonflygw.core.routing.SlotStatus;
import org.dragonflygw.core.timeline.HybridClock;
import org.dragonflygw.daemon.peer.GrantHandler;
import org.dragonflygw.daemon.peer.PeerReply;
import org.dragonflygw.wire.clock.HybridTimestamp;
import org.dragonflygw.wire.codec.GrantCodec;
import org.dragonflygw.wire.gossip.QuarantineRow;
import org.dragonflygw.wire.grants.ChatSpill;
import org.dragonflygw.wire.grants.CrashReport;
import org.dragonflygw.wire.grants.EngineLoad;
import org.dragonflygw.wire.grants.GrantEnd;
import org.dragonflygw.wire.grants.GrantRenewal;
import org.dragonflygw.wire.grants.GrantReply;
import org.dragonflygw.wire.grants.GrantRequest;
import org.dragonflygw.wire.grants.GrantUpdate;
import org.dragonflygw.wire.grants.GrantUpdateReply;
import org.dragonflygw.wire.grants.LoadStatement;
import org.dragonflygw.wire.grants.LoadSum;
import org.dragonflygw.wire.grants.SuspectReply;
import org.dragonflygw.wire.grants.SuspectRequest;
import org.dragonflygw.wire.grants.SuspectUpdate;
import org.dragonflygw.wire.grants.TeamTokenReply;
import org.dragonflygw.wire.grants.TeamTokenRequest;

/**
 * Answers calls of other daemons about the engines, pools, teams and fingerprints that this daemon owns. Thread-safe; never
 * blocks.
 */
@Singleton
public final class PeerGrantHandler implements GrantHandler {
    private final StewardTable stewards;
    private final PoolStates pools;
    private final SheetSource sheets;
    private final TeamRateSteward teamRates;
    private final Quarantine quarantine;
    private final CrashReporter crashReporter;
    private final HybridClock hybridClock;
    private final Clock clock;

    @Inject
    public PeerGrantHandler(
            StewardTable stewards,
            PoolStates pools,
            SheetSource sheets,
            TeamRateSteward teamRates,
            Quarantine quarantine,
            CrashReporter crashReporter,
            HybridClock hybridClock,
            Clock clock) {
        this.clock = clock;
        this.stewards = stewards;
        this.pools = pools;
        this.sheets = sheets;
        this.teamRates = teamRates;
        this.quarantine = quarantine;
        this.crashReporter = crashReporter;
        this.hybridClock = hybridClock;
    }

    @Override
    public void acquireGrant(GrantRequest request, PeerReply<GrantReply> reply) {
        SlotRequest slot = GrantCodec.fromWire(request);
        Optional<EngineSteward> steward = stewards.find(request.getEngineId());
        if (steward.isEmpty()) {
            send(SlotDecision.refused(SlotStatus.NOT_STEWARD, 0, 0, 0), reply);
            return;
        }
        if (request.isAdopted()) {
            send(steward.get().adopt(slot), reply);
            return;
        }
        if (quarantine.isQuarantined(slot.fingerprint())) {
            long remaining = quarantine.remainingMillis(slot.fingerprint());
            send(SlotDecision.refused(SlotStatus.QUARANTINED, steward.get().epoch(), remaining, 0), reply);
            return;
        }
        steward.get().acquire(slot, decision -> send(decision, reply));
    }

    @Override
    public void updateGrants(GrantUpdate update, PeerReply<GrantUpdateReply> reply) {
        update.getEnds().forEach(this::end);
        if (update.isSetSpills()) {
            update.getSpills().forEach(this::spill);
        }
        if (update.isSetCrashes()) {
            update.getCrashes().forEach(this::crash);
        }
        if (update.isSetSuspects()) {
            update.getSuspects().forEach(this::suspect);
        }
        if (update.isSetQuarantined()) {
            update.getQuarantined().forEach(this::quarantined);
        }
        List<GrantRenewal> unknown = new ArrayList<>();
        update.getRenewals().forEach(renewal -> renew(renewal, unknown));
        reply.send(new GrantUpdateReply(unknown, now()));
    }

    @Override
    public void takeTeamTokens(TeamTokenRequest request, PeerReply<TeamTokenReply> reply) {
        Optional<Team> team = sheets.current().sheet().teams().stream()
                .filter(known -> known.name().equals(request.getTeamName()))
                .findFirst();
        TeamTokens tokens = team.map(known -> teamRates.take(known, request.getWanted()))
                .orElseGet(() -> new TeamTokens(0, 0, 1_000));
        reply.send(GrantCodec.toWire(tokens));
    }

    @Override
    public void askSuspect(SuspectRequest request, PeerReply<SuspectReply> reply) {
        reply.send(GrantCodec.toWire(quarantine.requestAttempt(request.getFingerprint(), request.getRequestId())));
    }

    @Override
    public void stateLoads(LoadStatement statement, PeerReply<LoadSum> reply) {
        PoolState pool = pools.of(statement.getPoolName());
        Set<String> stated = new HashSet<>();
        for (EngineLoad load : statement.getLoads()) {
            stated.add(load.getEngineId());
            pool.loads()
                    .accept(new EndpointLoad(
                            load.getEngineId(),
                            load.getEpoch(),
                            load.getVersion(),
                            load.getInFlight(),
                            0,
                            load.isClosed(),
                            0,
                            clock.instant()));
        }
        PoolLoad sum = pool.loads().sumExcluding(stated);
        reply.send(new LoadSum(sum.inFlight(), sum.capacity()));
    }

    private void end(GrantEnd end) {
        stewards.find(end.getEngineId())
                .ifPresent(steward ->
                        steward.end(end.getGrantId(), end.getEpoch(), GrantCodec.fromWire(end.getOutcome())));
    }

    private void renew(GrantRenewal renewal, List<GrantRenewal> unknown) {
        Optional<EngineSteward> steward = stewards.find(renewal.getEngineId());
        List<Long> lost = new ArrayList<>();
        for (long grantId : renewal.getGrantIds()) {
            if (steward.isPresent() && !steward.get().renew(grantId, renewal.getEpoch())) {
                lost.add(grantId);
            }
        }
        if (!lost.isEmpty()) {
            unknown.add(new GrantRenewal(renewal.getEngineId(), renewal.getEpoch(), lost));
        }
    }

    private void spill(ChatSpill spill) {
        stewards.find(spill.getEngineId())
                .ifPresent(steward -> steward.recordSpill(spill.getChatHash(), spill.getToEngineId()));
    }

    private void crash(CrashReport report) {
        crashReporter.recordLoss(report.getFingerprint(), report.getEngineId(), report.getRequestId());
    }

    private void suspect(SuspectUpdate update) {
        if (update.isEnded()) {
            quarantine.onSoloEnd(update.getFingerprint(), update.getRequestId(), update.isCompleted());
            return;
        }
        quarantine.renewSolo(update.getFingerprint(), update.getRequestId());
    }

    private void quarantined(QuarantineRow row) {
        quarantine.accept(new QuarantineEntry(row.getFingerprint(), row.getCrashes(), row.getUntilMillis()));
    }

    private void send(SlotDecision decision, PeerReply<GrantReply> reply) {
        reply.send(GrantCodec.toWire(decision, hybridClock.now()));
    }

    private HybridTimestamp now() {
        org.dragonflygw.core.timeline.HybridTimestamp now = hybridClock.now();
        return new HybridTimestamp(now.physicalMillis(), now.logical());
    }
}
