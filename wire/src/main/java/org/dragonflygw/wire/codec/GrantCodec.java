package org.dragonflygw.wire.codec;

import org.dragonflygw.core.limits.TeamTokens;
import org.dragonflygw.core.retry.SuspectVerdict;
import org.dragonflygw.core.routing.AttemptOutcome;
import org.dragonflygw.core.routing.SlotDecision;
import org.dragonflygw.core.routing.SlotRequest;
import org.dragonflygw.core.routing.SlotStatus;
import org.dragonflygw.core.timeline.HybridTimestamp;
import org.dragonflygw.wire.grants.GrantOutcome;
import org.dragonflygw.wire.grants.GrantReply;
import org.dragonflygw.wire.grants.GrantRequest;
import org.dragonflygw.wire.grants.GrantStatus;
import org.dragonflygw.wire.grants.SuspectKind;
import org.dragonflygw.wire.grants.SuspectReply;
import org.dragonflygw.wire.grants.TeamTokenReply;

/** Turns messages about grants into their Thrift form and back. Messages of peers are checked before use. */
public final class GrantCodec {
    private static final int MAX_NAME_LENGTH = 200;
    private static final int MAX_TEAM_WEIGHT = 1_000_000;

    private GrantCodec() {}

    /** Gives the Thrift form of a request for a slot. */
    public static GrantRequest toWire(
            SlotRequest request, String engineId, String serviceName, int priority, HybridTimestamp sentAt) {
        GrantRequest wire = new GrantRequest(
                request.requestId(),
                engineId,
                serviceName,
                request.team(),
                0,
                request.remainingMillis(),
                request.maxWaitMillis(),
                priority,
                request.fingerprint(),
                1,
                toWire(sentAt),
                request.chatHash(),
                request.prefixHash(),
                request.teamWeight());
        if (request.suspect()) {
            wire.setSuspect(true);
        }
        if (request.followRedirect()) {
            wire.setFollowRedirect(true);
        }
        if (request.lastResort()) {
            wire.setLastResort(true);
        }
        return wire;
    }

    /** Reads a request for a slot; throws {@link WireException} when a field is missing or out of its bounds. */
    public static SlotRequest fromWire(GrantRequest wire) {
        check(isName(wire.getRequestId()) && isName(wire.getEngineId()), "grant request has no id");
        check(isName(wire.getTeamName()) && wire.isSetSentAt(), "grant request has no team or time");
        check(wire.getRemainingMillis() >= 0 && wire.getMaxWaitMillis() >= 0, "grant request has a negative time");
        check(wire.getTeamWeight() > 0 && wire.getTeamWeight() <= MAX_TEAM_WEIGHT, "team weight is out of bounds");
        return new SlotRequest(
                wire.getRequestId(),
                wire.getTeamName(),
                wire.getTeamWeight(),
                wire.getChatHash(),
                wire.getPrefixHash(),
                wire.getFingerprint(),
                wire.getRemainingMillis(),
                wire.getMaxWaitMillis(),
                wire.isSuspect(),
                wire.isFollowRedirect(),
                wire.isLastResort());
    }

    /** Gives the Thrift form of a decision. */
    public static GrantReply toWire(SlotDecision decision, HybridTimestamp sentAt) {
        GrantReply wire = new GrantReply(
                toWire(decision.status()),
                decision.grantId(),
                decision.epoch(),
                decision.leaseMillis(),
                decision.queuedMillis(),
                decision.retryAfterMillis(),
                toWire(sentAt),
                decision.inFlight());
        if (!decision.redirectEndpointId().isEmpty()) {
            wire.setRedirectEngineId(decision.redirectEndpointId());
        }
        if (decision.sameInFlight()) {
            wire.setSameInFlight(true);
        }
        if (decision.heldByBound()) {
            wire.setHeldByBound(true);
        }
        return wire;
    }

    /** Reads a decision; throws {@link WireException} when a field is missing. */
    public static SlotDecision fromWire(GrantReply wire) {
        check(wire.isSetStatus(), "grant reply has no status");
        return new SlotDecision(
                fromWire(wire.getStatus()),
                wire.getGrantId(),
                wire.getEpoch(),
                wire.getLeaseMillis(),
                wire.getQueuedMillis(),
                Math.max(0, wire.getRetryAfterMillis()),
                wire.isSetRedirectEngineId() ? wire.getRedirectEngineId() : "",
                wire.getInFlight(),
                wire.isSameInFlight(),
                wire.isHeldByBound());
    }

    /** Gives the Thrift form of an outcome. */
    public static GrantOutcome toWire(AttemptOutcome outcome) {
        return switch (outcome) {
            case COMPLETED -> GrantOutcome.COMPLETED;
            case FAILED -> GrantOutcome.FAILED;
            case CANCELLED -> GrantOutcome.CANCELLED;
            case ENDPOINT_LOST -> GrantOutcome.ENGINE_LOST;
            case UNREACHABLE -> GrantOutcome.UNREACHABLE;
        };
    }

    /** Reads an outcome. */
    public static AttemptOutcome fromWire(GrantOutcome outcome) {
        return switch (outcome) {
            case COMPLETED -> AttemptOutcome.COMPLETED;
            case FAILED -> AttemptOutcome.FAILED;
            case CANCELLED -> AttemptOutcome.CANCELLED;
            case ENGINE_LOST -> AttemptOutcome.ENDPOINT_LOST;
            case UNREACHABLE -> AttemptOutcome.UNREACHABLE;
        };
    }

    /** Gives the Thrift form of tokens of a team's rate. */
    public static TeamTokenReply toWire(TeamTokens tokens) {
        return new TeamTokenReply(tokens.granted(), tokens.validMillis(), tokens.retryAfterMillis());
    }

    /** Reads tokens of a team's rate. */
    public static TeamTokens fromWire(TeamTokenReply wire) {
        check(wire.getGranted() >= 0 && wire.getValidMillis() >= 0, "team tokens are negative");
        return new TeamTokens(wire.getGranted(), wire.getValidMillis(), wire.getRetryAfterMillis());
    }

    /** Gives the Thrift form of a verdict. */
    public static SuspectReply toWire(SuspectVerdict verdict) {
        return new SuspectReply(SuspectKind.valueOf(verdict.kind().name()), verdict.retryAfterMillis());
    }

    /** Reads a verdict. */
    public static SuspectVerdict fromWire(SuspectReply wire) {
        check(wire.isSetKind(), "suspect reply has no kind");
        return new SuspectVerdict(SuspectVerdict.Kind.valueOf(wire.getKind().name()), wire.getRetryAfterMillis());
    }

    private static org.dragonflygw.wire.clock.HybridTimestamp toWire(HybridTimestamp time) {
        return new org.dragonflygw.wire.clock.HybridTimestamp(time.physicalMillis(), time.logical());
    }

    private static GrantStatus toWire(SlotStatus status) {
        return status == SlotStatus.UNAVAILABLE ? GrantStatus.LEAVING : GrantStatus.valueOf(status.name());
    }

    private static SlotStatus fromWire(GrantStatus status) {
        return status == GrantStatus.LEAVING ? SlotStatus.UNAVAILABLE : SlotStatus.valueOf(status.name());
    }

    private static boolean isName(String name) {
        return name != null && !name.isEmpty() && name.length() <= MAX_NAME_LENGTH;
    }

    private static void check(boolean holds, String message) {
        if (!holds) {
            throw new WireException(WireCode.MALFORMED_MESSAGE, message);
        }
    }
}
