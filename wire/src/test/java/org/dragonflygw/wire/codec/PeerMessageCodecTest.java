package org.dragonflygw.wire.codec;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.dragonflygw.core.ratelimit.PermitReply;
import org.dragonflygw.core.ratelimit.PermitRequest;
import org.dragonflygw.core.ratelimit.RateNotice;
import org.dragonflygw.core.ratelimit.RateReport;
import org.dragonflygw.core.resume.OriginReply;
import org.dragonflygw.core.resume.StreamOrigin;
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
