package org.dragonflygw.core.ratelimit;

import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import org.dragonflygw.core.peers.HostRanking;
import org.dragonflygw.core.routing.RoutingHash;

/**
 * The few hosts that give out the limit of an endpoint. All hosts choose them alike, by rendezvous hashing over the list
 * of hosts, whether the hosts are heard or not: while a host is silent, nobody takes its place who could give out its
 * share a second time. Not thread-safe.
 */
public final class PermitOwners {
    /** Number of owners; one or two may be down while the others go on. */
    private static final int OWNERS = 3;

    /** Number of owners among which the limit is divided at least, so that owners that are cut off from each other do
     * not give out more than one and a half times the limit. */
    private static final int MIN_DIVISOR = 2;

    private final String self;
    private final HostRanking ranking;
    private final BooleanSupplier peersListed;
    private final Predicate<String> mayBeUp;

    /**
     * Creates a selection.
     *
     * @param self name of this host
     * @param peersListed whether this process has read the list of hosts
     * @param mayBeUp whether a peer is not known to be silent
     */
    public PermitOwners(String self, HostRanking ranking, BooleanSupplier peersListed, Predicate<String> mayBeUp) {
        this.self = self;
        this.ranking = ranking;
        this.peersListed = peersListed;
        this.mayBeUp = mayBeUp;
    }

    /** Returns the owners of the limit of an instance; none before this process has read the list of hosts. */
    public List<String> of(EndpointRate rate) {
        if (!peersListed.getAsBoolean()) {
            return List.of();
        }
        return ranking.first(RoutingHash.of(rate.endpoint() + '#' + rate.startedMs()), OWNERS);
    }

    /** Returns whether an owner can be asked: it is this host, or is not known to be silent. */
    boolean isReachable(String owner) {
        return owner.equals(self) || mayBeUp.test(owner);
    }

    /** Returns the share of the limit that each owner gives out, from 0 to 1. */
    double share(List<String> owners) {
        long heard = owners.stream().filter(this::isReachable).count();
        return 1.0 / Math.max(Math.min(MIN_DIVISOR, owners.size()), heard);
    }

    /**
     * Returns the share of a cold endpoint's limit that each owner gives out, from 0 to 1. An owner that hears none of the
     * others does not take over their shares, as it may be the one that is cut off.
     */
    double coldShare(List<String> owners) {
        long heard = owners.stream().filter(this::isReachable).count();
        return heard <= 1 ? 1.0 / owners.size() : share(owners);
    }
}
