package org.dragonflygw.core.peers;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalInt;

/**
 * The hosts that share the limits of the whole fleet. The number is unknown until this process has read the list of
 * hosts, and a host counts long after it was last seen: one that a network fault hides still uses its share. Not
 * thread-safe.
 */
final class FleetMembers {
    /**
     * Time after which a host that was not seen no longer counts, in nanoseconds; longer than outages between regions.
     */
    private static final long RETENTION_NANOS = 7_200_000_000_000L;

    private final Map<String, Long> lastSeenNanos = new HashMap<>();
    private boolean listed;

    /** Records that the store lists a host or that a report of it arrived. */
    void onSeen(String host, long nowNanos) {
        lastSeenNanos.put(host, nowNanos);
    }

    /** Records that the list of hosts was read in full. */
    void onListed() {
        listed = true;
    }

    /** Returns the number of hosts that were seen, or nothing before the list of hosts was read. */
    OptionalInt count(long nowNanos) {
        lastSeenNanos.values().removeIf(seen -> nowNanos - seen > RETENTION_NANOS);
        return listed ? OptionalInt.of(lastSeenNanos.size()) : OptionalInt.empty();
    }
}
