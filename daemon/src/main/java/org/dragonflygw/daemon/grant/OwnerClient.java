package org.dragonflygw.daemon.grant;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.dragonflygw.core.config.Service;
import org.dragonflygw.core.config.Team;
import org.dragonflygw.core.limits.TeamRateSteward;
import org.dragonflygw.core.limits.TeamTokenSource;
import org.dragonflygw.core.limits.TeamTokens;
import org.dragonflygw.core.membership.Member;
import org.dragonflygw.core.retry.Quarantine;
import org.dragonflygw.core.retry.SuspectVerdict;
import org.dragonflygw.core.routing.EngineSteward;
import org.dragonflygw.core.routing.SlotDecision;
import org.dragonflygw.core.routing.SlotQuery;
import org.dragonflygw.core.timeline.HybridClock;
import org.dragonflygw.daemon.peer.PeerClients;
import org.dragonflygw.daemon.peer.PeerException;
import org.dragonflygw.wire.codec.GrantCodec;
import org.dragonflygw.wire.codec.WireException;
import org.dragonflygw.wire.grants.SuspectRequest;
import org.dragonflygw.wire.grants.TeamTokenRequest;

/**
 * Queries the owners of engines, teams and fingerprints: within the process when this daemon is the owner, else by a call
 * to the owner. Thread-safe.
 */
@Singleton
public final class OwnerClient implements TeamTokenSource {
    private static final int CALL_TIMEOUT_MILLIS = 500;

    private final OwnershipView view;
    private final StewardTable stewards;
    private final TeamRateSteward teamRates;
    private final Quarantine quarantine;
    private final PeerClients peers;
    private final HybridClock clock;

    @Inject
    public OwnerClient(
            OwnershipView view,
            StewardTable stewards,
            TeamRateSteward teamRates,
            Quarantine quarantine,
            PeerClients peers,
            HybridClock clock) {
        this.view = view;
        this.stewards = stewards;
        this.teamRates = teamRates;
        this.quarantine = quarantine;
        this.peers = peers;
        this.clock = clock;
    }

    /**
     * Asks the steward of an engine for a slot; blocks while the request waits in the steward's queue.
     *
     * @throws GrantException when no answer came; the request was not run, and a slot that the steward may have granted
     *     expires
     */
    SlotDecision acquire(SlotQuery query, Service service, int priority) {
        String engineId = query.endpoint().id();
        Optional<Member> steward = view.engineSteward(engineId, query.endpoint().region());
        if (steward.isEmpty()) {
            throw new GrantException(GrantCode.NO_STEWARD, "no steward for engine " + engineId, null);
        }
        int timeoutMillis = (int) Math.min(Integer.MAX_VALUE, query.request().maxWaitMillis() + CALL_TIMEOUT_MILLIS);
        if (view.isSelf(steward.get())) {
            return acquireLocally(query, timeoutMillis);
        }
        try {
            return GrantCodec.fromWire(peers.acquireGrant(
                    OwnershipView.address(steward.get()),
                    GrantCodec.toWire(query.request(), engineId, service.name(), priority, clock.now()),
                    timeoutMillis));
        } catch (PeerException | WireException e) {
            throw new GrantException(
                    GrantCode.STEWARD_UNREACHABLE, "no grant from the steward of engine " + engineId, e);
        }
    }

    /** Asks whether a request may be attempted; decides from this daemon's quarantine when the owner does not answer. */
    SuspectVerdict askSuspect(long fingerprint, String requestId) {
        Optional<Member> owner = view.fingerprintOwner(fingerprint);
        if (owner.isEmpty() || view.isSelf(owner.get())) {
            return quarantine.requestAttempt(fingerprint, requestId);
        }
        try {
            return GrantCodec.fromWire(peers.askSuspect(
                    OwnershipView.address(owner.get()),
                    new SuspectRequest(fingerprint, requestId),
                    CALL_TIMEOUT_MILLIS));
        } catch (PeerException | WireException e) {
            return quarantine.requestAttempt(fingerprint, requestId);
        }
    }

    @Override
    public Optional<TeamTokens> take(Team team, int wanted) {
        Optional<Member> owner = view.teamOwner(team.name());
        if (owner.isEmpty()) {
            return Optional.empty();
        }
        if (view.isSelf(owner.get())) {
            return Optional.of(teamRates.take(team, wanted));
        }
        try {
            return Optional.of(GrantCodec.fromWire(peers.takeTeamTokens(
                    OwnershipView.address(owner.get()),
                    new TeamTokenRequest(team.name(), wanted),
                    CALL_TIMEOUT_MILLIS)));
        } catch (PeerException | WireException e) {
            return Optional.empty();
        }
    }

    private SlotDecision acquireLocally(SlotQuery query, int timeoutMillis) {
        Optional<EngineSteward> steward = stewards.find(query.endpoint().id());
        if (steward.isEmpty()) {
            throw new GrantException(
                    GrantCode.NO_STEWARD,
                    "this daemon is not yet steward of engine "
                            + query.endpoint().id(),
                    null);
        }
        CompletableFuture<SlotDecision> answer = new CompletableFuture<>();
        steward.get().acquire(query.request(), answer::complete);
        try {
            return answer.get(timeoutMillis, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new GrantException(GrantCode.STEWARD_UNREACHABLE, "interrupted while waiting for a grant", e);
        } catch (ExecutionException | TimeoutException e) {
            throw new GrantException(
                    GrantCode.STEWARD_UNREACHABLE, query.endpoint().id(), e);
        }
    }
}
