package org.dragonflygw.core.peers;

import org.dragonflygw.core.routing.RoutingHash;

/** Short hashes by which load messages name hosts and endpoints. */
public final class ShortHash {
    /** Number of bits; sorted hashes of some hundred names then differ by numbers of three bytes in a message. */
    private static final int BITS = 28;

    private ShortHash() {}

    /** Returns the short hash of a name. */
    public static int of(String name) {
        return of(RoutingHash.of(name));
    }

    /** Returns the short form of a hash of {@link RoutingHash}. */
    public static int of(long hash) {
        return (int) (hash >>> (Long.SIZE - BITS));
    }
}
