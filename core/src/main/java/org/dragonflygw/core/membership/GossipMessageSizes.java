package org.dragonflygw.core.membership;

import org.dragonflygw.core.routing.EndpointLoad;

/**
 * Upper bounds of the encoded sizes of messages between daemons, in bytes, so that a sender can keep to its budget
 * before it encodes.
 */
public final class GossipMessageSizes {
    /** One row of a quarantined fingerprint. */
    public static final int QUARANTINE_BYTES = 24;

    private static final int HEADER_BYTES = 130;
    private static final int ROW_FIELD_BYTES = 9;
    private static final int STATUS_BYTES = 1;
    private static final int PORT_BYTES = 3;
    private static final int AGE_BYTES = 5;
    private static final int STRING_LENGTH_BYTES = 2;
    private static final int VARINT_BITS = 7;

    private GossipMessageSizes() {}

    /** A message without rows, with its framing. */
    public static int header(Member sender) {
        return HEADER_BYTES + member(sender);
    }

    /** One member row. */
    public static int member(Member member) {
        return ROW_FIELD_BYTES
                + STATUS_BYTES
                + 2 * PORT_BYTES
                + number(member.incarnation())
                + string(member.daemonId())
                + string(member.address())
                + string(member.availabilityZone())
                + string(member.region());
    }

    /** One load row. */
    public static int load(EndpointLoad load) {
        return ROW_FIELD_BYTES
                + AGE_BYTES
                + string(load.endpointId())
                + number(load.epoch())
                + number(load.version())
                + number(load.inFlight())
                + number(load.queued())
                + number(load.waitMillis());
    }

    private static int string(String text) {
        return STRING_LENGTH_BYTES + text.length();
    }

    /** Size of a number in the compact protocol: zigzag, then seven bits a byte. */
    private static int number(long value) {
        long zigzag = (value << 1) ^ (value >> (Long.SIZE - 1));
        int bits = Long.SIZE - Long.numberOfLeadingZeros(zigzag | 1);
        return (bits + VARINT_BITS - 1) / VARINT_BITS;
    }
}
