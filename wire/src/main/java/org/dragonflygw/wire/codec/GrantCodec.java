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

/**
 * Converts grant messages between the core model and Thrift. Messages received from peers are validated. Thread-safe.
 */
public final class GrantCodec {
    private static final int MAX_NAME_LENGTH = 200;
    private static final int MAX_TEAM_WEIGHT = 1_000_000;

    private GrantCodec() {}

    /** Converts a slot request to Thrift. Receivers read neither prompt tokens nor attempt, sent as 0 and 1. */
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

    /** Converts a received slot request; throws {@link WireException} when a field is missing or out of range. */
    public static SlotRequest fromWire(GrantRequest wire) {
        check(
                isName(wire.getRequestId()) && isName(wire.getEngineId()),
                "grant request has no valid request id or engine id");
        check(isName(wire.getTeamName()) && wire.isSetSentAt(), "grant request has no valid team or no send time");
        check(
                wire.getRemainingMillis() >= 0 && wire.getMaxWaitMillis() >= 0,
                "grant request has a negative remaining or wait time");
        check(
                wire.getTeamWeight() > 0 && wire.getTeamWeight() <= MAX_TEAM_WEIGHT,
                "team weight of a grant request is not from 1 to " + MAX_TEAM_WEIGHT);
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

    /** Converts a slot decision to Thrift. */
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

    /** Converts a received slot decision; throws {@link WireException} when the status is missing. */
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

    /** Converts the outcome of an attempt to Thrift; a lost endpoint is called a lost engine there. */
    public static GrantOutcome toWire(AttemptOutcome outcome) {
        return switch (outcome) {
            case COMPLETED -> GrantOutcome.COMPLETED;
            case FAILED -> GrantOutcome.FAILED;
            case CANCELLED -> GrantOutcome.CANCELLED;
            case ENDPOINT_LOST -> GrantOutcome.ENGINE_LOST;
            case UNREACHABLE -> GrantOutcome.UNREACHABLE;
        };
    }

    /** Converts a received outcome of an attempt. */
    public static AttemptOutcome fromWire(GrantOutcome outcome) {
        return switch (outcome) {
            case COMPLETED -> AttemptOutcome.COMPLETED;
            case FAILED -> AttemptOutcome.FAILED;
            case CANCELLED -> AttemptOutcome.CANCELLED;
            case ENGINE_LOST -> AttemptOutcome.ENDPOINT_LOST;
            case UNREACHABLE -> AttemptOutcome.UNREACHABLE;
        };
    }

    /** Converts granted tokens of a team's rate limit to Thrift. */
    public static TeamTokenReply toWire(TeamTokens tokens) {
        return new TeamTokenReply(tokens.granted(), tokens.validMillis(), tokens.retryAfterMillis());
    }

    /** Converts received tokens of a team's rate limit; throws {@link WireException} when a number is negative. */
    public static TeamTokens fromWire(TeamTokenReply wire) {
        check(wire.getGranted() >= 0 && wire.getValidMillis() >= 0, "team token reply has a negative number");
        return new TeamTokens(wire.getGranted(), wire.getValidMillis(), wire.getRetryAfterMillis());
    }

    /** Converts the verdict on a crash suspect to Thrift. */
    public static SuspectReply toWire(SuspectVerdict verdict) {
        return new SuspectReply(SuspectKind.valueOf(verdict.kind().name()), verdict.retryAfterMillis());
    }

    /** Converts a received verdict on a crash suspect; throws {@link WireException} when the kind is missing. */
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

    private static void check(boolean condition, String message) {
        if (!condition) {
            throw new WireException(WireCode.MALFORMED_MESSAGE, message);
        }
    }
}
