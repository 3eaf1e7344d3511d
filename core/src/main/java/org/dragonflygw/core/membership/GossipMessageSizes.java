package org.dragonflygw.core.membership;

import org.dragonflygw.core.routing.EndpointLoad;

/**
 * Upper bounds of the encoded sizes of gossip messages and their rows, in bytes, so that a sender can keep to its byte
 * budget before it encodes a message.
 */
public final class GossipMessageSizes {
    /** Size of one row of a quarantined fingerprint. */
    public static final int QUARANTINE_BYTES = 24;

    private static final int HEADER_BYTES = 130;
    private static final int ROW_FIELD_BYTES = 9;
    private static final int STATUS_BYTES = 1;
    private static final int PORT_BYTES = 3;
    private static final int AGE_BYTES = 5;
    private static final int STRING_LENGTH_BYTES = 2;
    private static final int VARINT_BITS = 7;

    private GossipMessageSizes() {}

    /** Size of a message without rows, including the framing. */
    public static int header(Member sender) {
        return HEADER_BYTES + member(sender);
    }

    /** Size of one member row. */
    public static int member(Member member) {
        return ROW_FIELD_BYTES
                + STATUS_BYTES
                + 2 * PORT_BYTES
                + integer(member.incarnation())
                + string(member.daemonId())
                + string(member.address())
                + string(member.availabilityZone())
                + string(member.region());
    }

    /** Size of one load row. */
    public static int load(EndpointLoad load) {
        return ROW_FIELD_BYTES
                + AGE_BYTES
                + string(load.endpointId())
                + integer(load.epoch())
                + integer(load.version())
                + integer(load.inFlight())
                + integer(load.queued())
                + integer(load.waitMillis());
    }

    private static int string(String text) {
        return STRING_LENGTH_BYTES + text.length();
    }

    /** Size of an integer in Thrift's compact protocol: zigzag encoding, then seven bits per byte. */
    private static int integer(long value) {
        long zigzag = (value << 1) ^ (value >> (Long.SIZE - 1));
        int bits = Long.SIZE - Long.numberOfLeadingZeros(zigzag | 1);
        return (bits + VARINT_BITS - 1) / VARINT_BITS;
    }
}
