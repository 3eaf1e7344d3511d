package org.dragonflygw.core.peers;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Supplier;
import org.dragonflygw.core.lease.MonotonicClock;
import org.dragonflygw.core.routing.RoutingHash;

/**
 * Ranks the listed hosts, this one included, for a key by rendezvous hashing: hosts with the same list rank them alike,
 * and lists that differ in one host differ in one rank. Not thread-safe.
 */
public final class HostRanking {
    /** Time for which the list of hosts is used, in nanoseconds. */
    private static final long HOSTS_NANOS = 500_000_000L;

    private final String self;
    private final Supplier<Set<String>> peers;
    private final MonotonicClock clock;
    private List<Host> hosts = List.of();
    private long hostsNanos = Long.MIN_VALUE;

    /**
     * Creates a ranking.
     *
     * @param self name of this host
     * @param peers supplies the names of the other hosts
     */
    public HostRanking(String self, Supplier<Set<String>> peers, MonotonicClock clock) {
        this.self = self;
        this.peers = peers;
        this.clock = clock;
    }

    /** Returns the first hosts for a key, best first. */
    public List<String> first(long key, int count) {
        refresh();
        Comparator<Scored> byScore = Comparator.comparingLong(Scored::score).thenComparing(Scored::name);
        PriorityQueue<Scored> best = new PriorityQueue<>(count + 1, byScore);
        for (Host h : hosts) {
            best.add(new Scored(h.name, RoutingHash.score(key, h.hash, 1)));
            if (best.size() > count) {
                best.poll();
            }
        }
        return best.stream().sorted(byScore.reversed()).map(Scored::name).toList();
    }

    private void refresh() {
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

    private record Scored(String name, long score) {}
}
