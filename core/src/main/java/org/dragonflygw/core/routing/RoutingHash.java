package org.dragonflygw.core.routing;

import net.openhft.hashing.LongHashFunction;

/** Hash functions of routing. All daemons must agree on them, so they never change for a running fleet. */
public final class RoutingHash {
    private static final long GOLDEN_GAMMA = 0x9E3779B97F4A7C15L;
    private static final LongHashFunction XX = LongHashFunction.xx();

    private RoutingHash() {}

    /** Hash of a name. */
    public static long of(String name) {
        return XX.hashChars(name);
    }

    /** Hash of bytes. */
    public static long ofBytes(byte[] bytes) {
        return XX.hashBytes(bytes);
    }

    /** Mixes two hashes into one; the order of the arguments matters. */
    public static long mix(long first, long second) {
        long z = first * GOLDEN_GAMMA + second;
        z = (z ^ (z >>> 30)) * 0xBF58476D1CE4E5B9L;
        z = (z ^ (z >>> 27)) * 0x94D049BB133111EBL;
        return z ^ (z >>> 31);
    }

    /**
     * Rendezvous score of a node for a key. The highest score wins; a node of weight w has w times the chance of a
     * node of weight 1, because it draws w times.
     */
    public static long score(long key, long node, int weight) {
        long best = mix(key, node);
        for (int draw = 1; draw < weight; draw++) {
            best = Math.max(best, mix(key, node + draw * GOLDEN_GAMMA));
        }
        return best;
    }
}
