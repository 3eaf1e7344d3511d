package org.dragonflygw.core.routing;

import net.openhft.hashing.LongHashFunction;

/**
 * Hash functions for routing. All daemons of a fleet must use the same ones, so they cannot change in a running fleet.
 */
public final class RoutingHash {
    private static final long GOLDEN_GAMMA = 0x9E3779B97F4A7C15L;
    private static final LongHashFunction XX = LongHashFunction.xx();

    private RoutingHash() {}

    /** Returns the XXHash of a string. */
    public static long of(String name) {
        return XX.hashChars(name);
    }

    /** Returns the XXHash of a byte array. */
    public static long ofBytes(byte[] bytes) {
        return XX.hashBytes(bytes);
    }

    /** Combines two hashes into one; the order of the arguments matters. */
    public static long mix(long first, long second) {
        long z = first * GOLDEN_GAMMA + second;
        z = (z ^ (z >>> 30)) * 0xBF58476D1CE4E5B9L;
        z = (z ^ (z >>> 27)) * 0x94D049BB133111EBL;
        return z ^ (z >>> 31);
    }

    /**
     * Rendezvous score of a node for a key. The highest score wins; a node of weight w wins w times as often as a
     * node of weight 1, because its score is the maximum of w hashes.
     */
    public static long score(long key, long node, int weight) {
        long best = mix(key, node);
        for (int draw = 1; draw < weight; draw++) {
            best = Math.max(best, mix(key, node + draw * GOLDEN_GAMMA));
        }
        return best;
    }
}
