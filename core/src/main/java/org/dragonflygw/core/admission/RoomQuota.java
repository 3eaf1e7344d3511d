package org.dragonflygw.core.admission;

import java.util.random.RandomGenerator;

/**
 * How many requests this host may send to a service that is short of room. A slot that the end of an own request freed is
 * this host's alone. Of the room that reports show, which all hosts see and see late, the host takes its share: of each
 * rise at once, and of what stays free once in the time that a report needs. Shares are rounded at random, so that the
 * hosts together send about one request for each free slot. Not thread-safe.
 */
final class RoomQuota {
    /** Largest number of own freed slots that are remembered; others see them as free after a while. */
    private static final int MAX_CREDITS = 8;

    private final RandomGenerator random;
    private int credits;
    private int tokens;
    private double seenFree;
    private long updatedNanos;

    RoomQuota(RandomGenerator random) {
        this.random = random;
    }

    /** Records that an own request ended and freed its slot. */
    void onOwnSlotFreed() {
        credits = Math.min(MAX_CREDITS, credits + 1);
        seenFree++; // The slot does not count as a rise that reports show.
    }

    /** Applies the current view of the room. */
    void update(Room room, FleetShare fleet, long nowNanos) {
        double free = room.free();
        double share = fleet.of(room);
        double rise = Math.max(0, free - seenFree);
        double elapsed = Math.min(1, (nowNanos - updatedNanos) / (double) fleet.reportAgeNanos());
        int most = (int) Math.ceil(share * free);
        tokens = Math.min(most, tokens + roundAtRandom(share * (rise + free * elapsed)));
        seenFree = free;
        updatedNanos = nowNanos;
    }

    private int roundAtRandom(double value) {
        int whole = (int) value;
        return whole + (random.nextDouble() < value - whole ? 1 : 0);
    }

    /** Returns whether a request may be sent to an endpoint that has room. */
    boolean mayTake() {
        return credits > 0 || tokens > 0;
    }

    /** Records a request that is sent. */
    void take() {
        if (credits > 0) {
            credits--;
        } else {
            tokens--;
        }
        seenFree = Math.max(0, seenFree - 1);
    }

    /** Drops what was allowed, because no endpoint has room or the view is out of date. */
    void clear() {
        credits = 0;
        tokens = 0;
    }

    /** Starts with the room as it is when a service becomes short of it. */
    void restart(Room room, long nowNanos) {
        clear();
        seenFree = room.free();
        updatedNanos = nowNanos;
    }
}
