package org.dragonflygw.wire.codec;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.dragonflygw.core.dispatch.PromptPart;
import org.dragonflygw.core.peers.EndpointSum;
import org.dragonflygw.core.peers.FleetLoad;
import org.dragonflygw.core.peers.HostLoad;
import org.dragonflygw.core.peers.IncludedHost;
import org.dragonflygw.core.peers.SharedPrefix;
import org.dragonflygw.core.ratelimit.PermitReply;
import org.dragonflygw.core.ratelimit.PermitRequest;
import org.dragonflygw.core.ratelimit.RateNotice;
import org.dragonflygw.core.ratelimit.RateReport;
import org.dragonflygw.core.resume.OriginReply;
import org.dragonflygw.core.resume.StreamOrigin;
import org.dragonflygw.wire.hosts.EndpointSumsMessage;
import org.dragonflygw.wire.hosts.HostLoadMessage;
import org.dragonflygw.wire.hosts.PeerMessage;
import org.junit.jupiter.api.Test;

final class PeerMessageCodecTest {
    private static final RateReport RATE = new RateReport("i-1", 17, RateNotice.limited(0.25), 30, 20);

    private final PeerMessageCodec codec = new PeerMessageCodec();

    /** Collects the decoded messages, each with its id. */
    private static final class Received implements PeerMessageHandler {
        private final List<Object> messages = new ArrayList<>();

        @Override
        public void onPermitRequest(long id, PermitRequest request) {
            messages.add(id);
            messages.add(request);
        }

        @Override
        public void onPermitReply(long id, PermitReply reply) {
            messages.add(id);
            messages.add(reply);
        }

        @Override
        public void onStreamOrigin(String attempt, StreamOrigin origin) {
            messages.add(attempt);
            messages.add(origin);
        }

        @Override
        public void onOriginRequest(long id, String attempt, String service) {
            messages.add(id);
            messages.add(attempt);
            messages.add(service);
        }

        @Override
        public void onOriginReply(long id, OriginReply reply) {
            messages.add(id);
            messages.add(reply);
        }

        @Override
        public void onHostLoad(HostLoad load) {
            messages.add(load);
        }

        @Override
        public void onFleetLoad(FleetLoad load) {
            messages.add(load);
        }
    }

    private List<Object> decode(byte[] datagram) {
        Received received = new Received();
        codec.decode(datagram, received);
        return received.messages;
    }

    @Test
    void decodedMessagesEqualTheEncodedOnes() {
        PermitRequest request = new PermitRequest(RATE);
        PermitReply reply = new PermitReply(false, 250, new RateReport("i-1", 17, RateNotice.UNLIMITED, 3, 2));
        assertThat(decode(codec.encode(7, request)))
                .containsExactly(7L, request)
                .inOrder();
        assertThat(decode(codec.encode(8, reply))).containsExactly(8L, reply).inOrder();
        StreamOrigin origin = new StreamOrigin("s", "v1");
        assertThat(decode(codec.encode("a", origin)))
                .containsExactly("a", origin)
                .inOrder();
        assertThat(decode(codec.encode(9, "a", "s")))
                .containsExactly(9L, "a", "s")
                .inOrder();
        for (OriginReply r : List.of(
                new OriginReply(Optional.of(origin), Optional.empty()),
                new OriginReply(Optional.empty(), Optional.of("v2")),
                new OriginReply(Optional.empty(), Optional.empty(), true),
                new OriginReply(Optional.empty(), Optional.empty()))) {
            assertThat(decode(codec.encode(10, r))).containsExactly(10L, r).inOrder();
        }
    }

    private static final List<EndpointSum> SUMS =
            List.of(new EndpointSum(17, 3, 160, 0.25), new EndpointSum(1 << 27, 1, 0, 0));
    private static final List<SharedPrefix> PREFIXES = List.of(
            new SharedPrefix(17, List.of(new PromptPart(Long.MIN_VALUE, 5), new PromptPart(9, 10_512))),
            new SharedPrefix(99, List.of(new PromptPart(8, 1))));

    @Test
    void decodedLoadsEqualTheEncodedOnes() {
        HostLoad host = new HostLoad("h1", 1_700_000_000_000L, SUMS, PREFIXES);
        HostLoad idle = new HostLoad("h1", 2, List.of(), List.of());
        FleetLoad fleet = new FleetLoad(
                "h9", 7, 312, List.of(new IncludedHost(5, 0), new IncludedHost(1 << 27, 8_191)), SUMS, PREFIXES);
        assertThat(decode(codec.encode(host))).containsExactly(host);
        assertThat(decode(codec.encode(idle))).containsExactly(idle);
        assertThat(decode(codec.encode(fleet))).containsExactly(fleet);
    }

    /** Guards against a load that is applied in part or ends the receiver when lists of a message differ in length. */
    @Test
    void loadsWhoseListsDoNotFitAreRejected() throws Exception {
        EndpointSumsMessage sums = new EndpointSumsMessage(List.of(1, 2), List.of(1), List.of(1, 2));
        byte[] content = new TSerializer(new TCompactProtocol.Factory())
                .serialize(new PeerMessage(0).setHostLoad(new HostLoadMessage("h", 1, sums)));
        byte[] datagram = new byte[content.length + 1];
        System.arraycopy(content, 0, datagram, 1, content.length);
        assertThrows(WireException.class, () -> decode(datagram));
    }

    @Test
    void truncatedLoadsAreRejectedAtEveryLength() {
        byte[] whole = codec.encode(new FleetLoad("h9", 7, 312, List.of(new IncludedHost(5, 0)), SUMS, PREFIXES));
        for (int length = 1; length < whole.length; length++) {
            byte[] truncated = Arrays.copyOf(whole, length);
            assertThrows(WireException.class, () -> decode(truncated));
        }
    }

    @Test
    void messagesAreToldFromReports() {
        assertThat(PeerMessageCodec.isMessage(codec.encode(7, new PermitRequest(RATE))))
                .isTrue();
        assertThat(PeerMessageCodec.isMessage(new byte[] {0x18})).isFalse();
        assertThat(PeerMessageCodec.isMessage(new byte[0])).isFalse();
    }

    @Test
    void truncatedMessagesAreRejectedAtEveryLength() {
        byte[] whole = codec.encode(9, new PermitReply(true, 0, RATE));
        for (int length = 1; length < whole.length; length++) {
            byte[] truncated = Arrays.copyOf(whole, length);
            assertThrows(WireException.class, () -> decode(truncated));
        }
    }
}
