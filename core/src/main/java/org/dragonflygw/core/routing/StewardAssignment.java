package org.dragonflygw.core.routing;

import java.util.Collection;

/** Assigns a steward to each engine by rendezvous hashing over the live daemons of the engine's region. */
public final class StewardAssignment {
    private StewardAssignment() {}

    /**
     * Returns the steward of a subject. Daemons with the same membership view agree; a change of the view moves only
     * the subjects of the daemons that joined or left.
     *
     * @param subject engine id, or another name that one daemon owns
     * @param daemonIds live daemons of the region, in any order
     * @return id of the steward, or an empty string if there is no daemon
     */
    public static String steward(String subject, Collection<String> daemonIds) {
        long key = RoutingHash.of(subject);
        String best = "";
        long bestScore = 0;
        for (String daemonId : daemonIds) {
            long score = RoutingHash.mix(key, RoutingHash.of(daemonId));
            boolean wins = score > bestScore || (score == bestScore && daemonId.compareTo(best) < 0);
            if (best.isEmpty() || wins) {
                best = daemonId;
                bestScore = score;
            }
        }
        return best;
    }
}
