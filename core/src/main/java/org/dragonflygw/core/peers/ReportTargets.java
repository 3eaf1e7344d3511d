package org.dragonflygw.core.peers;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.dragonflygw.core.settings.HostAddress;

/**
 * Chooses the peers that get the reports of a round: a bounded number in turn. The first one is random, since hosts that
 * start together would otherwise all report to the same few peers at the same time, and news that one peer passes on
 * would reach the others no sooner. Not thread-safe.
 */
public final class ReportTargets {
    private final int perRound;
    private final RandomGenerator random;
    private int next = -1;

    /**
     * Creates a choice.
     *
     * @param perRound maximum number of peers in a round
     * @param random source of the first peer
     */
    public ReportTargets(int perRound, RandomGenerator random) {
        this.perRound = perRound;
        this.random = random;
    }

    /** Returns the peers that get the next reports. */
    public List<HostAddress> next(List<HostAddress> peers) {
        if (next < 0 && !peers.isEmpty()) {
            next = random.nextInt(peers.size());
        }
        List<HostAddress> targets = new ArrayList<>();
        for (int i = 0; i < Math.min(perRound, peers.size()); i++) {
            targets.add(peers.get(Math.floorMod(next++, peers.size())));
        }
        return targets;
    }

    /** Returns the number of rounds until each peer has got a report. */
    public int rounds(int peers) {
        return Math.max(1, (peers + perRound - 1) / perRound);
    }
}
