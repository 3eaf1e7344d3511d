package org.dragonflygw.core.membership;

import java.time.Duration;

/**
 * Settings of the gossip protocol.
 *
 * @param interval time between rounds
 * @param bytesPerSecond bytes that this daemon may send for gossip in a second
 * @param maxMessageBytes largest message, in bytes
 */
public record GossipSettings(Duration interval, int bytesPerSecond, int maxMessageBytes) {
    private static final double GOSSIP_SHARE = 0.5;
    private static final int MESSAGES_PER_SECOND = 3;

    /** Settings that leave half of the budget for all control traffic to grants and other calls between daemons. */
    public static GossipSettings of(Duration interval, int controlBytesPerSecond) {
        int bytes = (int) (controlBytesPerSecond * GOSSIP_SHARE);
        return new GossipSettings(interval, bytes, bytes / MESSAGES_PER_SECOND);
    }
}
