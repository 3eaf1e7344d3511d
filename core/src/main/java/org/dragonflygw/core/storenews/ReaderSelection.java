package org.dragonflygw.core.storenews;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.dragonflygw.core.peers.PeerTable;
import org.dragonflygw.core.routing.RoutingHash;

/**
 * Selects the hosts that read the store on behalf of the others. Hosts are sorted by the hash of their names and split
 * into groups. In each group, the first host that reaches the store reads; the next ones take over one after another
 * when they receive nothing new. Each host decides from its own peer table without further messages; hosts whose tables
 * differ only read more often.
 */
public final class ReaderSelection {
    /** Hosts for each reader; small enough that the reader sends few messages to its group. */
    private static final int GROUP_SIZE = 64;

    /** Highest rank; all later hosts of a group share it and wait equally long. */
    private static final int MAX_RANK = 5;

    private final String self;
    private final PeerTable peers;

    /**
     * Creates a selection.
     *
     * @param self name of this host
     * @param peers the other hosts
     */
    public ReaderSelection(String self, PeerTable peers) {
        this.self = self;
        this.peers = peers;
    }

    /** Number of hosts of this host's group that reach the store and come before it, at most 5; 0 for the reader. */
    public int rank() {
        List<String> group = group();
        int rank = 0;
        for (String host : group.subList(0, group.indexOf(self))) {
            rank += peers.reachesStore(host) ? 1 : 0;
        }
        return Math.min(MAX_RANK, rank);
    }

    /** The hosts of this host's group in the order in which they take over, including this host. */
    public List<String> group() {
        List<String> sorted = new ArrayList<>(peers.hostNames());
        sorted.add(self);
        sorted.sort(Comparator.comparingLong(RoutingHash::of).thenComparing(Comparator.naturalOrder()));
        int ownIndex = sorted.indexOf(self);
        int start = ownIndex - ownIndex % GROUP_SIZE;
        return sorted.subList(start, Math.min(start + GROUP_SIZE, sorted.size()));
    }

    /** Whether this host is the reader of its group. */
    public boolean isReader() {
        return rank() == 0;
    }
}
