package org.dragonflygw.core.storenews;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.dragonflygw.core.peers.PeerTable;
import org.dragonflygw.core.routing.RoutingHash;

/**
 * Decides which hosts read the store for the others. Hosts are sorted by the hash of their names and cut into groups;
 * in each group the first host that reaches the store reads, and the others follow one after the other when they hear
 * nothing new. No message is needed for it, and hosts that disagree only read more often.
 */
public final class ReaderSelection {
    /** Hosts for which one reads: its messages to them stay few. */
    private static final int GROUP_SIZE = 64;

    /** Ranks that are told apart by waiting longer. */
    private static final int MAX_RANK = 5;

    private final String self;
    private final PeerTable peers;

    /** Makes a duty for a host. */
    public ReaderSelection(String self, PeerTable peers) {
        this.self = self;
        this.peers = peers;
    }

    /** Hosts of the own group that come before this one, 0 for the one that reads, at most 5. */
    public int rank() {
        List<String> sorted = new ArrayList<>(peers.hostNames());
        sorted.add(self);
        sorted.sort(Comparator.comparingLong(RoutingHash::of).thenComparing(Comparator.naturalOrder()));
        int own = sorted.indexOf(self);
        int groupStart = own - own % GROUP_SIZE;
        int before = 0;
        for (int i = groupStart; i < own; i++) {
            before += peers.reachesStore(sorted.get(i)) ? 1 : 0;
        }
        return Math.min(MAX_RANK, before);
    }

    /** Whether this host reads for its group. */
    public boolean isReader() {
        return rank() == 0;
    }
}
