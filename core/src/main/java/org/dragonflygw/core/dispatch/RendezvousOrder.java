package org.dragonflygw.core.dispatch;

import java.util.Arrays;
import java.util.List;
import org.dragonflygw.core.routing.RoutingHash;

/**
 * The order of engines for a shared prompt prefix, by rendezvous hashing. All hosts that know the same engines compute
 * the same order. Adding or removing an engine does not change the relative order of the others.
 */
final class RendezvousOrder {
    private final int[] ranks;

    /**
     * Ranks the engines for a prefix.
     *
     * @param sharedKey key of the prefix; if 0, every engine has rank 0
     */
    RendezvousOrder(List<EndpointLoadState> engines, long sharedKey) {
        ranks = new int[engines.size()];
        if (sharedKey != 0) {
            computeRanks(engines, sharedKey);
        }
    }

    private void computeRanks(List<EndpointLoadState> engines, long sharedKey) {
        int n = engines.size();
        long[] scores = new long[n];
        for (int i = 0; i < n; i++) {
            scores[i] = score(engines.get(i), sharedKey);
        }
        long[] ascending = scores.clone();
        Arrays.sort(ascending);
        for (int i = 0; i < n; i++) {
            ranks[i] = n - 1 - Arrays.binarySearch(ascending, scores[i]);
        }
    }

    /** Returns the rank of the engine at an index of the list; 0 is the first. */
    int rank(int index) {
        return ranks[index];
    }

    /** Returns the hash score of an engine for a prefix; the engine with the highest score is first. */
    static long score(EndpointLoadState engine, long sharedKey) {
        return RoutingHash.mix(sharedKey, engine.idHash());
    }
}
