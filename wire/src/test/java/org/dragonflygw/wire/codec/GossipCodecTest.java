package org.dragonflygw.wire.codec;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.dragonflygw.core.config.SheetVersion;
import org.dragonflygw.core.membership.GossipMessage;
import org.dragonflygw.core.membership.GossipMessageSizes;
import org.dragonflygw.core.membership.Member;
import org.dragonflygw.core.membership.MemberStatus;
import org.dragonflygw.core.retry.QuarantineEntry;
import org.dragonflygw.core.routing.EndpointLoad;
import org.dragonflygw.core.timeline.HybridTimestamp;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class GossipCodecTest {
    private static final Instant NOW = Instant.ofEpochMilli(1_800_000_000_000L);

    private static final List<MemberStatus> STATUSES = List.copyOf(EnumSet.allOf(MemberStatus.class));

    private static Member member(int number, MemberStatus status) {
        String id = "router-" + number;
        return new Member(id, "10.200.130." + number, 65_535, 65_535, "zone-a", "r", Long.MAX_VALUE - number, status);
    }

    private static GossipMessage message(int members, int loads, int quarantined) {
        List<Member> memberRows = new ArrayList<>();
        for (int i = 0; i < members; i++) {
            memberRows.add(member(i, STATUSES.get(i % STATUSES.size())));
        }
        List<EndpointLoad> loadRows = new ArrayList<>();
        for (int i = 0; i < loads; i++) {
            loadRows.add(new EndpointLoad("engine-" + i, 1_800_000_000_000L, 900_000L + i, 9000, 900, true, 9000, NOW));
        }
        List<QuarantineEntry> entries = new ArrayList<>();
        for (int i = 0; i < quarantined; i++) {
            entries.add(new QuarantineEntry(Long.MIN_VALUE + i, 2, 1_800_000_000_000L));
        }
        return new GossipMessage(
                member(200, MemberStatus.ALIVE),
                Long.MIN_VALUE,
                Integer.MAX_VALUE,
                new SheetVersion(Integer.MAX_VALUE, "fe".repeat(32)),
                memberRows,
                loadRows,
                entries,
                new HybridTimestamp(1_800_000_000_000L, 70_000));
    }

    @Nested
    class Messages {
        @Test
        void decodedMessageEqualsTheEncodedOne() {
            GossipMessage message = message(8, 5, 3);
            assertThat(GossipCodec.fromWire(GossipCodec.toWire(message, NOW), NOW))
                    .isEqualTo(message);
        }

        @Test
        void missingAndInvalidFieldsAreRejected() {
            org.dragonflygw.wire.gossip.GossipMessage empty = new org.dragonflygw.wire.gossip.GossipMessage();
            assertThrows(WireException.class, () -> GossipCodec.fromWire(empty, NOW));
            org.dragonflygw.wire.gossip.GossipMessage port = GossipCodec.toWire(message(1, 0, 0), NOW);
            port.getSender().setPeerPort(0);
            assertThrows(WireException.class, () -> GossipCodec.fromWire(port, NOW));
            org.dragonflygw.wire.gossip.GossipMessage digest = GossipCodec.toWire(message(1, 0, 0), NOW);
            digest.setNewestDigest(new byte[3]);
            assertThrows(WireException.class, () -> GossipCodec.fromWire(digest, NOW));
        }
    }

    @Nested
    class Sheets {
        @Test
        void decompressionRestoresTheContentWithinItsMaxSize() {
            byte[] content = "team,clerks\n".repeat(1000).getBytes(StandardCharsets.UTF_8);
            byte[] compressed = SheetCompression.compress(content);
            assertThat(compressed.length).isLessThan(content.length / 10);
            assertThat(SheetCompression.decompress(compressed, content.length)).isEqualTo(content);
            assertThrows(WireException.class, () -> SheetCompression.decompress(compressed, content.length - 1));
            assertThrows(WireException.class, () -> SheetCompression.decompress(new byte[] {1}, 10));
        }
    }

    @Group
    static class EncodedSize {
        @Property(seed = "20261203", tries = 200)
        void staysWithinTheEstimateOfGossipMessageSizes(
                @ForAll @IntRange(max = 50) int members,
                @ForAll @IntRange(max = 50) int loads,
                @ForAll @IntRange(max = 16) int quarantined)
                throws TException {
            GossipMessage message = message(members, loads, quarantined);
            int bound = GossipMessageSizes.header(message.sender()) + quarantined * GossipMessageSizes.QUARANTINE_BYTES;
            for (Member row : message.members()) {
                bound += GossipMessageSizes.member(row);
            }
            for (EndpointLoad row : message.loads()) {
                bound += GossipMessageSizes.load(row);
            }
            byte[] encoded =
                    new TSerializer(new TCompactProtocol.Factory()).serialize(GossipCodec.toWire(message, NOW));
            int framing = 40;
            assertThat(encoded.length + framing).isAtMost(bound);
        }
    }
}
