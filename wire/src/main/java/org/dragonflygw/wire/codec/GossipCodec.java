package org.dragonflygw.wire.codec;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.function.Function;
import org.dragonflygw.core.config.SheetVersion;
import org.dragonflygw.core.membership.GossipMessage;
import org.dragonflygw.core.membership.Member;
import org.dragonflygw.core.membership.MemberStatus;
import org.dragonflygw.core.retry.QuarantineEntry;
import org.dragonflygw.core.routing.EndpointLoad;
import org.dragonflygw.core.timeline.HybridTimestamp;
import org.dragonflygw.wire.gossip.EndpointRow;
import org.dragonflygw.wire.gossip.MemberRow;
import org.dragonflygw.wire.gossip.QuarantineRow;

/** Turns gossip messages into their Thrift form and back. Messages of peers are checked before use. */
public final class GossipCodec {
    private static final int DIGEST_BYTES = 32;
    private static final int MAX_ROWS = 10_000;
    private static final int MAX_NAME_LENGTH = 200;
    private static final int MAX_PORT = 65_535;

    private GossipCodec() {}

    /** Gives the Thrift form. */
    public static org.dragonflygw.wire.gossip.GossipMessage toWire(GossipMessage message, Instant now) {
        return new org.dragonflygw.wire.gossip.GossipMessage(
                toWire(message.sender()),
                message.memberDigest(),
                message.sheetInForce(),
                message.newestSheet().number(),
                ByteBuffer.wrap(HexFormat.of().parseHex(message.newestSheet().digest())),
                map(message.members(), GossipCodec::toWire),
                map(message.loads(), load -> toWire(load, now)),
                map(message.quarantined(), GossipCodec::toWire),
                new org.dragonflygw.wire.clock.HybridTimestamp(
                        message.sentAt().physicalMillis(), message.sentAt().logical()));
    }

    /** Reads the Thrift form; throws {@link WireException} when a field is missing or out of its bounds. */
    public static GossipMessage fromWire(org.dragonflygw.wire.gossip.GossipMessage message, Instant now) {
        check(message.isSetSender() && message.isSetSentAt(), "sender or time is missing");
        check(message.isSetMembers() && message.isSetEndpoints() && message.isSetQuarantined(), "rows are missing");
        int rows = message.getMembersSize() + message.getEndpointsSize() + message.getQuarantinedSize();
        check(rows <= MAX_ROWS, "too many rows");
        return new GossipMessage(
                fromWire(message.getSender()),
                message.getMemberDigest(),
                message.getSheetInForce(),
                newestSheet(message),
                map(message.getMembers(), GossipCodec::fromWire),
                map(message.getEndpoints(), row -> fromWire(row, now)),
                map(
                        message.getQuarantined(),
                        row -> new QuarantineEntry(row.getFingerprint(), row.getCrashes(), row.getUntilMillis())),
                new HybridTimestamp(
                        message.getSentAt().getPhysicalMillis(),
                        message.getSentAt().getLogical()));
    }

    private static SheetVersion newestSheet(org.dragonflygw.wire.gossip.GossipMessage message) {
        byte[] digest = message.getNewestDigest();
        if (message.getNewestSheet() == 0) {
            return SheetVersion.NONE;
        }
        check(message.getNewestSheet() > 0, "sheet number is negative");
        check(digest != null && digest.length == DIGEST_BYTES, "sheet digest has a wrong length");
        return new SheetVersion(message.getNewestSheet(), HexFormat.of().formatHex(digest));
    }

    private static MemberRow toWire(Member member) {
        return new MemberRow(
                member.daemonId(),
                member.address(),
                member.peerPort(),
                member.operatorPort(),
                member.availabilityZone(),
                member.region(),
                member.incarnation(),
                toWire(member.status()));
    }

    private static Member fromWire(MemberRow row) {
        check(row.isSetStatus() && isName(row.getDaemonId()) && isName(row.getAddress()), "member row is incomplete");
        check(isName(row.getAvailabilityZone()) && isName(row.getRegion()), "member row has no zone or region");
        check(row.getPeerPort() > 0 && row.getPeerPort() <= MAX_PORT, "peer port is out of bounds");
        check(row.getIncarnation() > Member.LISTED, "incarnation is out of bounds");
        return new Member(
                row.getDaemonId(),
                row.getAddress(),
                row.getPeerPort(),
                row.getOperatorPort(),
                row.getAvailabilityZone(),
                row.getRegion(),
                row.getIncarnation(),
                fromWire(row.getStatus()));
    }

    private static org.dragonflygw.wire.gossip.MemberStatus toWire(MemberStatus status) {
        return switch (status) {
            case ALIVE -> org.dragonflygw.wire.gossip.MemberStatus.ALIVE;
            case SUSPECT -> org.dragonflygw.wire.gossip.MemberStatus.SUSPECT;
            case LEAVING -> org.dragonflygw.wire.gossip.MemberStatus.LEAVING;
            case DEAD -> org.dragonflygw.wire.gossip.MemberStatus.DEAD;
        };
    }

    private static MemberStatus fromWire(org.dragonflygw.wire.gossip.MemberStatus status) {
        return switch (status) {
            case ALIVE -> MemberStatus.ALIVE;
            case SUSPECT -> MemberStatus.SUSPECT;
            case LEAVING -> MemberStatus.LEAVING;
            case DEAD -> MemberStatus.DEAD;
        };
    }

    private static EndpointRow toWire(EndpointLoad load, Instant now) {
        long age = Math.max(0, Duration.between(load.receivedAt(), now).toMillis());
        return new EndpointRow(
                load.endpointId(),
                load.epoch(),
                load.version(),
                load.inFlight(),
                load.queued(),
                load.closed(),
                load.waitMillis(),
                (int) Math.min(Integer.MAX_VALUE, age));
    }

    private static EndpointLoad fromWire(EndpointRow row, Instant now) {
        check(isName(row.getEndpointId()), "endpoint row has no id");
        check(row.getInFlight() >= 0 && row.getQueued() >= 0 && row.getWaitMillis() >= 0, "endpoint row is negative");
        return new EndpointLoad(
                row.getEndpointId(),
                row.getEpoch(),
                row.getVersion(),
                row.getInFlight(),
                row.getQueued(),
                row.isClosed(),
                row.getWaitMillis(),
                now.minusMillis(Math.max(0, row.getAgeMillis())));
    }

    private static QuarantineRow toWire(QuarantineEntry entry) {
        return new QuarantineRow(entry.fingerprint(), entry.crashes(), entry.untilMillis());
    }

    private static boolean isName(String text) {
        return text != null && !text.isEmpty() && text.length() <= MAX_NAME_LENGTH;
    }

    private static void check(boolean condition, String message) {
        if (!condition) {
            throw new WireException(WireCode.MALFORMED_MESSAGE, message);
        }
    }

    private static <A, B> List<B> map(List<A> rows, Function<A, B> mapper) {
        List<B> mapped = new ArrayList<>(rows.size());
        for (A row : rows) {
            mapped.add(mapper.apply(row));
        }
        return mapped;
    }
}
