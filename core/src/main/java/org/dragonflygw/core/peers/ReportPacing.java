package org.dragonflygw.core.peers;

/**
 * Decides how often a host sends reports. Each round goes to a fixed number of peers in turn. In a small fleet, rounds
 * are frequent, so that peers see a load while it lasts. In a large fleet a peer's turn comes only after seconds at any
 * affordable rate, longer than most requests last; rounds are rarer there, since each report wakes its receiver.
 */
public final class ReportPacing {
    /** Number of peers that one round sends to. */
    public static final int FAN_OUT = 8;

    private static final long MIN_INTERVAL_MS = 200;

    private static final long MAX_INTERVAL_MS = 500;

    /** Interval per peer in milliseconds, between the bounds. */
    private static final long INTERVAL_PER_PEER_MS = 5;

    private ReportPacing() {}

    /** Returns the time between two rounds in milliseconds. */
    public static long intervalMs(int peers) {
        return Math.max(MIN_INTERVAL_MS, Math.min(MAX_INTERVAL_MS, INTERVAL_PER_PEER_MS * peers));
    }

    /** Returns the number of rounds after which each peer has received a report, at least 1. */
    public static int roundsPerPeer(int peers) {
        return Math.max(1, (peers + FAN_OUT - 1) / FAN_OUT);
    }

    /** Returns the time after which each peer has received a report, in milliseconds. */
    public static long turnMs(int peers) {
        return roundsPerPeer(peers) * intervalMs(peers);
    }
}
