package org.dragonflygw.core.dispatch;

import java.util.Arrays;
import java.util.List;
import org.dragonflygw.core.routing.RoutingHash;

/**
 * The order of engines for a shared part of prompts, by rendezvous hashing: all hosts that know the same engines order
 * them in the same way, and an engine that comes or goes moves no other.
 */
final class RendezvousOrder {
    private final int[] ranks;

    /** Orders engines for a part; without a part, all of them come first. */
    RendezvousOrder(List<EndpointLoadState> engines, long sharedKey) {
        ranks = new int[engines.size()];
        if (sharedKey != 0) {
            rank(engines, sharedKey);
        }
    }

    private void rank(List<EndpointLoadState> engines, long sharedKey) {
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

    /** Place in the order of the engine at an index of the list, from 0. */
    int rank(int index) {
        return ranks[index];
    }

    /** Score of an engine for a part; the highest comes first. */
    static long score(EndpointLoadState engine, long sharedKey) {
        return RoutingHash.mix(sharedKey, engine.idHash());
    }
}
