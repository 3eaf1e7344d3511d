package org.dragonflygw.core.routing;

import java.util.Collection;

/** Picks the daemon that is steward of an engine, by rendezvous hashing over the live daemons of its region. */
public final class StewardAssignment {
    private StewardAssignment() {}

    /**
     * The steward of a subject. Daemons with the same view agree; a change of view moves only the subjects of the
     * daemons that came or went.
     *
     * @param subject engine id, or another name that is owned by one daemon
     * @param daemonIds live daemons of the region, in any order
     * @return id of the steward, or an empty string when there is no daemon
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
