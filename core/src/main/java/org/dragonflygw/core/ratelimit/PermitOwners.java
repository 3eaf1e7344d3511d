package org.dragonflygw.core.ratelimit;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.dragonflygw.core.lease.MonotonicClock;
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

    /** Time for which the list of hosts is used, in nanoseconds. */
    private static final long HOSTS_NANOS = 500_000_000L;

    private final String self;
    private final Supplier<Set<String>> peers;
    private final BooleanSupplier peersListed;
    private final Predicate<String> reporting;
    private final MonotonicClock clock;
    private List<Host> hosts = List.of();
    private long hostsNanos = Long.MIN_VALUE;

    /**
     * Creates a selection.
     *
     * @param self name of this host
     * @param peers supplies the names of the other hosts
     * @param peersListed whether this process has read the list of hosts
     * @param reporting whether a peer was heard recently
     */
    public PermitOwners(
            String self,
            Supplier<Set<String>> peers,
            BooleanSupplier peersListed,
            Predicate<String> reporting,
            MonotonicClock clock) {
        this.self = self;
        this.peers = peers;
        this.peersListed = peersListed;
        this.reporting = reporting;
        this.clock = clock;
    }

    /** Returns the owners of the limit of an instance; none before this process has read the list of hosts. */
    public List<String> of(EndpointRate rate) {
        if (!peersListed.getAsBoolean()) {
            return List.of();
        }
        refreshHosts();
        long key = RoutingHash.of(rate.endpoint() + '#' + rate.startedMs());
        return hosts.stream()
                .sorted(Comparator.comparingLong((Host h) -> RoutingHash.score(key, h.hash, 1))
                        .reversed())
                .limit(OWNERS)
                .map(Host::name)
                .toList();
    }

    /** Returns whether an owner can be asked: it is this host, or was heard recently. */
    boolean isReachable(String owner) {
        return owner.equals(self) || reporting.test(owner);
    }

    /** Returns the share of the limit that each owner gives out, from 0 to 1. */
    double share(List<String> owners) {
        long heard = owners.stream().filter(this::isReachable).count();
        return 1.0 / Math.max(Math.min(MIN_DIVISOR, owners.size()), heard);
    }

    private void refreshHosts() {
        long now = clock.nanos();
        if (hostsNanos != Long.MIN_VALUE && now - hostsNanos < HOSTS_NANOS) {
            return;
        }
        hostsNanos = now;
        List<Host> fresh = new ArrayList<>();
        fresh.add(new Host(self, RoutingHash.of(self)));
        peers.get().forEach(p -> fresh.add(new Host(p, RoutingHash.of(p))));
        hosts = fresh;
    }

    private record Host(String name, long hash) {}
}
