package org.dragonflygw.core.membership;

import org.dragonflygw.core.routing.EndpointLoad;

/**
 * Upper bounds of the encoded sizes of messages between daemons, in bytes, so that a sender can keep to its budget
 * before it encodes.
 */
public final class MessageSizes {
    /** One row of a quarantined fingerprint. */
    public static final int QUARANTINE_BYTES = 24;

    private static final int HEADER_BYTES = 150;
    private static final int MEMBER_NUMBER_BYTES = 28;
    private static final int LOAD_NUMBER_BYTES = 30;
    private static final int STRING_BYTES = 2;

    private MessageSizes() {}

    /** A message without rows, with its framing. */
    public static int header(Member sender) {
        return HEADER_BYTES + member(sender);
    }

    /** One member row. */
    public static int member(Member member) {
        return MEMBER_NUMBER_BYTES
                + string(member.daemonId())
                + string(member.address())
                + string(member.availabilityZone())
                + string(member.region());
    }

    /** One load row. */
    public static int load(EndpointLoad load) {
        return LOAD_NUMBER_BYTES + string(load.endpointId());
    }

    private static int string(String text) {
        return STRING_BYTES + text.length();
    }
}
