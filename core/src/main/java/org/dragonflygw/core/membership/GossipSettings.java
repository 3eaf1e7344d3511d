package org.dragonflygw.core.membership;

import java.time.Duration;

/**
 * Settings of the gossip protocol.
 *
 * @param interval time between rounds
 * @param bytesPerSecond gossip bytes that this daemon may send per second
 * @param maxMessageBytes largest message, in bytes
 */
public record GossipSettings(Duration interval, int bytesPerSecond, int maxMessageBytes) {
    private static final double GOSSIP_FRACTION = 0.5;
    private static final int MESSAGES_PER_SECOND = 3;

    /** Creates settings that use half of the control traffic budget and leave the rest to grants and peer calls. */
    public static GossipSettings of(Duration interval, int controlBytesPerSecond) {
        int bytes = (int) (controlBytesPerSecond * GOSSIP_FRACTION);
        return new GossipSettings(interval, bytes, bytes / MESSAGES_PER_SECOND);
    }
}
