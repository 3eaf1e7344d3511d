package org.dragonflygw.wire.codec;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.dragonflygw.core.ratelimit.PermitReply;
import org.dragonflygw.core.ratelimit.PermitRequest;
import org.dragonflygw.core.ratelimit.RateNotice;
import org.dragonflygw.core.ratelimit.RateReport;
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
