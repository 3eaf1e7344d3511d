package org.dragonflygw.core.peers;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import org.dragonflygw.core.routing.RoutingHash;

/**
 * Chooses the hosts that add loads up: the first of a ranking that all hosts make alike, and one that stands by. Not
 * thread-safe.
 */
final class RelayRanking {
    /** Number of hosts to which each host reports its load. */
    private static final int RELAYS = 2;

    /** Number of hosts that are considered; so many are not lost at once while others remain, save by a rare chance. */
    private static final int CANDIDATES = 8;

    private static final long KEY = RoutingHash.of("load relay");

    private final HostRanking ranking;

    RelayRanking(HostRanking ranking) {
        this.ranking = ranking;
    }

    /** Returns whether a host comes before another one. */
    boolean isBetter(String host, String other) {
        return score(host) > score(other);
    }

    private static long score(String host) {
        return RoutingHash.score(KEY, RoutingHash.of(host), 1);
    }

    /**
     * Returns the first hosts that can be expected to be up.
     *
     * @param skipped number of pairs to leave out, because they did not respond
     */
    List<String> relays(Predicate<String> isUp, int skipped) {
        List<String> up = candidates().stream().filter(isUp).toList();
        List<String> relays = new ArrayList<>();
        for (int i = 0; i < Math.min(RELAYS, up.size()); i++) {
            relays.add(up.get((RELAYS * skipped + i) % up.size()));
        }
        return relays;
    }

    /** Returns the candidates that come before a host. */
    List<String> before(String host) {
        return candidates().stream().filter(h -> isBetter(h, host)).toList();
    }

    /**
     * Returns the hosts to which a relay reports its load whether they are heard or not, so that two relays that act at
     * once hear of each other: the first ones, and all that come before it.
     */
    List<String> mates(String relay) {
        Set<String> mates = new LinkedHashSet<>(ranking.first(KEY, RELAYS));
        mates.addAll(before(relay));
        mates.remove(relay);
        return List.copyOf(mates);
    }

    private List<String> candidates() {
        return ranking.first(KEY, CANDIDATES);
    }
}
