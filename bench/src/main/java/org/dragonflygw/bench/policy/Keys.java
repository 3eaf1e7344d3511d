package org.dragonflygw.bench.policy;

import org.dragonflygw.core.routing.CandidateKey;
import org.dragonflygw.core.routing.RoutingHash;

/** Hashes of generated requests. */
final class Keys {
    private static final long SCOPE = RoutingHash.of("service");

    private Keys() {}

    static CandidateKey of(Arrival arrival) {
        long prefix = RoutingHash.mix(SCOPE, arrival.document());
        return new CandidateKey(prefix, RoutingHash.mix(prefix, arrival.chat()), arrival.promptTokens());
    }
}
