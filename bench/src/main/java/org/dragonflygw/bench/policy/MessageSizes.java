package org.dragonflygw.bench.policy;

import java.util.List;
import org.apache.thrift.TBase;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.dragonflygw.core.routing.SlotDecision;
import org.dragonflygw.core.routing.SlotRequest;
import org.dragonflygw.wire.clock.HybridTimestamp;
import org.dragonflygw.wire.grants.ChatSpill;
import org.dragonflygw.wire.grants.GrantEnd;
import org.dragonflygw.wire.grants.GrantOutcome;
import org.dragonflygw.wire.grants.GrantReply;
import org.dragonflygw.wire.grants.GrantRequest;
import org.dragonflygw.wire.grants.GrantStatus;
import org.dragonflygw.wire.grants.GrantUpdate;
import org.dragonflygw.wire.grants.GrantUpdateReply;

/** Sizes of encoded messages, with the frame and the call's envelope. */
final class MessageSizes {
    private static final int FRAME_BYTES = 4;
    private static final int ENVELOPE_BYTES = 18;

    private final TSerializer serializer;
    private final HybridTimestamp now = new HybridTimestamp(1_764_795_600_000L, 3);

    MessageSizes() {
        try {
            this.serializer = new TSerializer(new TCompactProtocol.Factory());
        } catch (TException e) {
            throw new IllegalStateException("serializer", e);
        }
    }

    /** Bytes of a request for a slot and its answer. */
    int call(String engineId, SlotRequest request, SlotDecision decision) {
        GrantRequest ask = new GrantRequest(
                request.requestId(),
                engineId,
                "reviewer",
                request.team(),
                1_000,
                request.remainingMillis(),
                request.maxWaitMillis(),
                5,
                request.fingerprint(),
                1,
                now,
                request.chatHash(),
                request.prefixHash(),
                request.teamWeight());
        GrantStatus status = decision.isGranted() ? GrantStatus.GRANTED : GrantStatus.OVERLOADED;
        GrantReply reply = new GrantReply(
                status,
                decision.grantId(),
                decision.epoch(),
                decision.leaseMillis(),
                decision.queuedMillis(),
                decision.retryAfterMillis(),
                now,
                decision.inFlight());
        return size(ask) + size(reply) + 2 * (FRAME_BYTES + ENVELOPE_BYTES);
    }

    /** Bytes of the end of a grant that shares its message with no other, and its answer. */
    int end(String engineId, long grantId, long epoch, long fingerprint) {
        GrantUpdate update = new GrantUpdate(
                List.of(new GrantEnd(engineId, grantId, epoch, GrantOutcome.COMPLETED, fingerprint)), List.of(), now);
        GrantUpdateReply reply = new GrantUpdateReply(List.of(), now);
        return size(update) + size(reply) + 2 * (FRAME_BYTES + ENVELOPE_BYTES);
    }

    /** Bytes that the note of a spilled chat adds to a message. */
    int spill(String engineId, long chatHash, String toEngineId) {
        return size(new ChatSpill(engineId, chatHash, toEngineId));
    }

    private int size(TBase<?, ?> message) {
        try {
            return serializer.serialize(message).length;
        } catch (TException e) {
            throw new IllegalStateException("message", e);
        }
    }
}
