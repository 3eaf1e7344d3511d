package org.dragonflygw.core.peers;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import org.dragonflygw.core.dispatch.EndpointLoadState;
import org.dragonflygw.core.dispatch.EndpointLoads;
import org.dragonflygw.core.lease.MonotonicClock;
import org.dragonflygw.core.log.EventLog;
import org.dragonflygw.core.log.LogTopic;
import org.dragonflygw.core.settings.HostAddress;

/**
 * The part of this host in adding up the loads of a large fleet: it reports its own load to the relay and a stand-by,
 * receives the sums and passes them on, and makes them while it is the relay. Hosts that know few others tell each other
 * their loads in {@link HostReport}s. Not thread-safe.
 */
public final class FleetLoads {
    /** Number of peers up to which there are no sums; direct reports reach them all in two rounds. */
    static final int MAX_DIRECT_PEERS = 16;

    /** Number of peers above which messages are sent less often, to hold the bytes per host. */
    private static final int MANY_PEERS = 256;

    private static final int ROUNDS_PER_INTERVAL = 2;
    private static final int ROUNDS_PER_LONG_INTERVAL = 3;

    /** Duration of a round in nanoseconds. */
    private static final long ROUND_NANOS = 200_000_000L;

    /** Age of the sums above which loads are reported directly too; a lost message does not exceed it. */
    private static final long RECENT_NANOS = 1_500_000_000L;

    /** Number of intervals without sums after which the next relays are tried. */
    private static final int INTERVALS_PER_TRY = 3;

    /** Number of intervals between reports to better relays that are not heard. */
    private static final int INTERVALS_PER_PROBE = 25;

    /** Fraction of this host's sums that a better relay must include for this one to stand by. */
    private static final double COVERAGE = 0.9;

    /** Failure score from which an endpoint without requests in flight is reported. */
    private static final double MIN_REPORTED_FAILURE_SCORE = 0.2;

    /** Number of own reports that are kept to be taken off the sums; more than arrive while sums are used. */
    private static final int MAX_OWN = 16;

    private static final long NANOS_PER_MS = 1_000_000;

    private final String self;
    private final int selfHash;
    private final PeerTable peers;
    private final EndpointLoads loads;
    private final RelayRanking ranking;
    private final EventLog log;
    private final MonotonicClock clock;
    private final LoadRelay relay;
    private final ReceivedLoads received = new ReceivedLoads();
    private final Deque<HostLoad> own = new ArrayDeque<>();
    private long sequence;
    private long round;
    private long interval;
    private int intervalsWithoutSums;
    private int probes;
    private boolean acting;
    private String lastRelay = "";

    /**
     * Creates the part of a host.
     *
     * @param startedMs Unix time at which this process started, in milliseconds
     */
    public FleetLoads(
            String self,
            long startedMs,
            PeerTable peers,
            EndpointLoads loads,
            HostRanking ranking,
            EventLog log,
            MonotonicClock clock) {
        this.self = self;
        this.selfHash = ShortHash.of(self);
        this.peers = peers;
        this.loads = loads;
        this.ranking = new RelayRanking(ranking);
        this.log = log;
        this.clock = clock;
        this.relay = new LoadRelay(self, startedMs);
        this.sequence = startedMs;
    }

    /** Returns the sums to use, if there are any. */
    public Optional<FleetSum> current() {
        return received.current(clock.nanos());
    }

    /** Returns recent sums that this host's load is part of, so that direct reports to the hosts in them need not hold it. */
    Optional<FleetSum> includingThisHost() {
        long now = clock.nanos();
        return received.current(now).filter(s -> s.includes(selfHash) && now - s.atNanos() < RECENT_NANOS);
    }

    /** Returns the age of what the sums say, in milliseconds; -1 without sums. */
    public long ageMs() {
        return current().map(s -> (clock.nanos() - s.atNanos()) / NANOS_PER_MS).orElse(-1L);
    }

    /** Returns the number of hosts in the sums; 0 without sums. */
    public long includedHosts() {
        return current().map(FleetSum::hosts).orElse(0);
    }

    /** Returns whether this host makes the sums. */
    public boolean isActing() {
        return acting;
    }

    /**
     * Returns what to send in a round.
     *
     * @param holdings prompt prefixes that this host sent to endpoints lately
     */
    LoadMessages nextRound(List<PromptHolding> holdings) {
        round++;
        if (!isLarge()) {
            act(false);
            relay.standBy(clock.nanos());
            return LoadMessages.NONE;
        }
        if (round % roundsPerInterval() != 0) {
            return LoadMessages.NONE;
        }
        interval++;
        long now = clock.nanos();
        noteRelay(now);
        HostLoad load = ownLoad(holdings, now);
        relay.onHostLoad(load, now);
        Optional<FleetLoad> sums = sums(now);
        return new LoadMessages(
                Optional.of(load),
                peers.addressesOf(relays(now)),
                sums,
                sums.map(s -> route(s).fromRelay()).orElse(List.of()));
    }

    /** Returns the number of rounds between two reports of this host's load. */
    int roundsPerInterval() {
        return peers.size() > MANY_PEERS ? ROUNDS_PER_LONG_INTERVAL : ROUNDS_PER_INTERVAL;
    }

    private boolean isLarge() {
        return peers.size() > MAX_DIRECT_PEERS;
    }

    private void noteRelay(long now) {
        Optional<FleetSum> sums = received.current(now);
        intervalsWithoutSums = sums.isPresent() ? 0 : intervalsWithoutSums + 1;
        String name = sums.map(FleetSum::relay).orElse("");
        if (!name.equals(lastRelay)) {
            log.line(LogTopic.PEER)
                    .with("outcome", name.isEmpty() ? "no load sums" : "load sums")
                    .with("relay", name.isEmpty() ? lastRelay : name)
                    .with("hosts", sums.map(FleetSum::hosts).orElse(0))
                    .end();
            lastRelay = name;
        }
    }

    private HostLoad ownLoad(List<PromptHolding> holdings, long now) {
        SumOfLoads sum = new SumOfLoads();
        for (EndpointLoadState e : loads.all()) {
            double failures = e.ownFailureScore(now);
            int held = e.held(now);
            if (held > 0 || failures >= MIN_REPORTED_FAILURE_SCORE) {
                int endpoint = ShortHash.of(e.idHash());
                sum.add(List.of(new EndpointSum(endpoint, held, e.unreadTokens(), failures)));
            }
        }
        List<SharedPrefix> prefixes = holdings.stream()
                .map(h -> new SharedPrefix(ShortHash.of(h.endpoint()), h.parts()))
                .toList();
        HostLoad load = new HostLoad(self, ++sequence, sum.sorted(), prefixes);
        own.addLast(load);
        if (own.size() > MAX_OWN) {
            own.removeFirst();
        }
        return load;
    }

    private List<String> relays(long now) {
        boolean heard = received.current(now).isPresent();
        int skipped = heard ? 0 : intervalsWithoutSums / INTERVALS_PER_TRY;
        List<String> relays = new ArrayList<>(ranking.relays(h -> isUp(h, heard, now), skipped));
        if (relays.isEmpty()) {
            received.current(now).map(FleetSum::relay).ifPresent(relays::add);
        }
        if (acting) {
            ranking.mates(self).stream().filter(h -> !relays.contains(h)).forEach(relays::add);
        }
        if (heard && !relays.isEmpty() && interval % INTERVALS_PER_PROBE == 0) {
            List<String> silent = ranking.before(relays.get(0));
            if (!silent.isEmpty()) {
                relays.add(silent.get(probes++ % silent.size()));
            }
        }
        return relays;
    }

    private boolean isUp(String host, boolean heard, long now) {
        if (host.equals(self)) {
            return true;
        }
        int hash = ShortHash.of(host);
        return heard ? received.any(s -> s.includes(hash) || s.relay().equals(host), now) : peers.mayBeUp(host);
    }

    private Optional<FleetLoad> sums(long now) {
        int hosts = relay.size(now);
        act(hosts > 1 && !betterRelayActs(hosts, now));
        if (!acting) {
            relay.standBy(now);
            return Optional.empty();
        }
        Optional<FleetLoad> sums = relay.next(now);
        sums.ifPresent(this::take);
        return sums;
    }

    private boolean betterRelayActs(int hosts, long now) {
        long recentNanos = ROUND_NANOS * (ROUNDS_PER_INTERVAL * roundsPerInterval() + 1);
        return received.any(
                s -> now - s.arrivalNanos() < recentNanos
                        && s.includes(selfHash)
                        && s.hosts() >= hosts * COVERAGE
                        && ranking.isBetter(s.relay(), self),
                now);
    }

    private void act(boolean now) {
        if (now != acting) {
            acting = now;
            log.line(LogTopic.PEER)
                    .with("outcome", now ? "adds up loads" : "adds up loads no more")
                    .with("hosts", relay.size(clock.nanos()))
                    .end();
        }
    }

    /** Records the load of another host. */
    public void onHostLoad(HostLoad load) {
        if (!load.host().equals(self)) {
            relay.onHostLoad(load, clock.nanos());
        }
    }

    /** Records sums of another host, unless they are outdated; returns the hosts to which they must be passed on. */
    public List<HostAddress> onFleetLoad(FleetLoad load) {
        if (load.relay().equals(self) || !received.isNew(load, clock.nanos())) {
            return List.of();
        }
        take(load);
        return route(load).from(selfHash);
    }

    private void take(FleetLoad load) {
        long now = clock.nanos();
        FleetSum sum = new FleetSum(load, ownPart(load), now);
        received.put(sum);
        load.hosts().forEach(h -> peers.onIncluded(h.host(), sum.atNanos()));
        applyPrefixes(load.prefixes(), now);
    }

    private List<EndpointSum> ownPart(FleetLoad load) {
        OptionalInt counted = load.hosts().stream()
                .filter(h -> h.host() == selfHash)
                .mapToInt(IncludedHost::sequence)
                .findFirst();
        if (counted.isEmpty()) {
            return List.of();
        }
        return own.stream()
                .filter(o -> IncludedHost.lowBits(o.sequence()) == counted.getAsInt())
                .findFirst()
                .map(HostLoad::loads)
                .orElse(List.of());
    }

    private void applyPrefixes(List<SharedPrefix> prefixes, long now) {
        if (prefixes.isEmpty()) {
            return;
        }
        Map<Integer, EndpointLoadState> byHash = new HashMap<>();
        loads.all().forEach(e -> byHash.put(ShortHash.of(e.idHash()), e));
        for (SharedPrefix p : prefixes) {
            EndpointLoadState endpoint = byHash.get(p.endpoint());
            if (endpoint != null) {
                endpoint.onPromptSentByPeer(p.parts(), now);
            }
        }
    }

    private LoadRoute route(FleetLoad load) {
        return new LoadRoute(load, peers::addressOfHash);
    }
}
