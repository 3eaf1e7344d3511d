package org.dragonflygw.core.peers;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.dragonflygw.core.dispatch.EndpointLoadState;
import org.dragonflygw.core.dispatch.EndpointLoads;
import org.dragonflygw.core.dispatch.LeavingEndpoint;
import org.dragonflygw.core.dispatch.PeerLoad;
import org.dragonflygw.core.lease.MonotonicClock;
import org.dragonflygw.core.log.EventLog;
import org.dragonflygw.core.log.LogTopic;
import org.dragonflygw.core.ratelimit.RateLog;
import org.dragonflygw.core.settings.HostAddress;

/**
 * The peers of this host, with their addresses and latest reports. A peer whose reports stop no longer counts towards
 * the load of endpoints. Until the peer is removed, this host keeps sending reports to it, because a network fault may
 * affect only one direction. Reports are an optimization: without them, each host uses only its own observations. Not
 * thread-safe.
 */
public final class PeerTable {
    /** Smallest maximum age of a usable report, in nanoseconds; several reports must be lost to exceed it. */
    private static final long MIN_REPORT_EXPIRY_NANOS = 2_500_000_000L;

    /** Maximum age of a usable report per known peer, in nanoseconds. In a large fleet, peers report less often. */
    private static final long REPORT_AGE_PER_PEER_NANOS = 60_000_000L;

    /**
     * Time without reports after which a peer is removed, in nanoseconds; longer than typical host freezes and network
     * partitions.
     */
    private static final long REMOVAL_SILENCE_NANOS = 60_000_000_000L;

    /** Time within which a listed host must report for the first time to stay in the ranking, in report expiries. */
    private static final int FIRST_REPORT_EXPIRIES = 2;

    /** Largest fraction of silent peers with which a host still hears most of them. */
    private static final double MAX_SILENT_FRACTION = 0.34;

    private static final long NANOS_PER_MS = 1_000_000;

    private final String self;
    private final EndpointLoads loads;
    private final EventLog log;
    private final MonotonicClock clock;
    private final Map<String, Peer> peers = new HashMap<>();
    private final Map<Integer, String> namesByHash = new HashMap<>();
    private final RateLog rateLog;
    private final FleetMembers members = new FleetMembers();
    private final RankedHosts ranked = new RankedHosts();
    private FleetSum appliedSums;
    private boolean appliedDirect;

    /**
     * Creates an empty table.
     *
     * @param self name of this host
     */
    public PeerTable(String self, EndpointLoads loads, EventLog log, MonotonicClock clock) {
        this.self = self;
        this.loads = loads;
        this.log = log;
        this.clock = clock;
        this.rateLog = new RateLog(loads.rates(), log);
    }

    /** Records a host that is listed in the store. */
    public void onHostListed(String host, HostAddress address) {
        if (host.equals(self)) {
            return;
        }
        members.onSeen(host, clock.nanos());
        ranked.onListed(host, clock.nanos());
        Peer known = peers.get(host);
        if (known == null) {
            addPeer(host, address);
        } else if (known.report == null) {
            known.address = address;
        }
    }

    /** Records that all hosts in the store's list were passed to {@link #onHostListed}. */
    public void onListComplete() {
        members.onListed();
    }

    /** Applies a report, unless it is outdated or from this host; returns whether it was applied. */
    public boolean onReport(HostReport report) {
        if (report.host().equals(self)) {
            return false;
        }
        Peer known = peers.get(report.host());
        Peer peer = known == null ? addPeer(report.host(), report.address()) : known;
        if (peer.report != null && !report.newerThan(peer.report)) {
            return false;
        }
        if (peer.report == null || !peer.reporting) {
            logPeer(report.host(), "heard");
        }
        members.onSeen(report.host(), clock.nanos());
        ranked.onHeard(report.host(), clock.nanos());
        peer.report = report;
        peer.inSums = false;
        peer.address = report.address();
        peer.lastReportNanos = clock.nanos();
        peer.reporting = true;
        report.leaving().forEach(l -> onLeaving(report.host(), l));
        report.rates().forEach(r -> rateLog.accept(r, report.host(), clock.nanos()));
        for (PromptHolding h : report.holdings()) {
            loads.get(h.endpoint()).ifPresent(e -> e.onPromptSentByPeer(h.parts(), clock.nanos()));
        }
        return true;
    }

    private Peer addPeer(String host, HostAddress address) {
        Peer peer = new Peer(ShortHash.of(host), address, clock.nanos());
        peers.put(host, peer);
        namesByHash.put(peer.hash, host);
        return peer;
    }

    /**
     * Records that the load of a host is part of the sums: it was up at that time, and what it reported directly before
     * counts no more.
     */
    void onIncluded(int host, long atNanos) {
        String name = namesByHash.get(host);
        if (name == null) {
            return;
        }
        Peer peer = peers.get(name);
        members.onSeen(name, clock.nanos());
        peer.inSums = true;
        peer.lastReportNanos = Math.max(peer.lastReportNanos, atNanos);
        if (!peer.reporting && clock.nanos() - peer.lastReportNanos < reportExpiryNanos()) {
            peer.reporting = true;
            logPeer(name, "heard");
        }
    }

    private void onLeaving(String peer, LeavingEndpoint leaving) {
        long sinceNanos = clock.nanos() - leaving.ageMs() * NANOS_PER_MS;
        if (loads.onLeaving(leaving.id(), leaving.startedMs(), sinceNanos)) {
            log.line(LogTopic.ENDPOINT)
                    .with("endpoint", leaving.id())
                    .with("outcome", "leaving by its own response to a peer")
                    .with("peer", peer)
                    .with("ageMs", leaving.ageMs())
                    .end();
        }
    }

    /** Recomputes the load that peers put on each endpoint from direct reports alone, and removes silent peers. */
    public void refreshPeerLoads() {
        refreshPeerLoads(Optional.empty());
    }

    /**
     * Recomputes the load that peers put on each endpoint and removes silent peers. The load of a peer counts once: in the
     * sums, or else from its direct report.
     *
     * @param fleet sums of the loads of many hosts, if there are any
     */
    public void refreshPeerLoads(Optional<FleetSum> fleet) {
        long now = clock.nanos();
        removeSilent(now);
        Map<String, PeerLoadSum> direct = new HashMap<>();
        int hosts = fleet.map(f -> f.hosts() - 1).orElse(0);
        int directReports = 0;
        long agesNanos = 0;
        for (Map.Entry<String, Peer> e : peers.entrySet()) {
            Peer p = e.getValue();
            boolean fresh = now - p.lastReportNanos < reportExpiryNanos();
            if (p.reporting && !fresh) {
                p.reporting = false;
                logPeer(e.getKey(), "silent");
            }
            boolean counted = p.inSums || (fleet.isPresent() && fleet.get().includes(p.hash));
            if (fresh && p.report != null && !counted) {
                hosts++;
                directReports++;
                agesNanos += now - p.lastReportNanos;
                p.report
                        .uses()
                        .forEach(u -> direct.computeIfAbsent(u.endpoint(), x -> new PeerLoadSum())
                                .add(u));
            }
        }
        boolean applied = fleet.isPresent() && fleet.get() == appliedSums && direct.isEmpty() && !appliedDirect;
        if (hosts > 0 && !applied) {
            appliedSums = fleet.orElse(null);
            appliedDirect = !direct.isEmpty();
            long ageMs = fleet.isPresent() ? 0 : agesNanos / directReports / NANOS_PER_MS;
            applyLoads(direct, fleet, hosts, ageMs);
        }
    }

    /**
     * Passes the loads to the endpoints. Sums are as of a time of their own; direct reports, as of now, have a mean age.
     */
    private void applyLoads(Map<String, PeerLoadSum> direct, Optional<FleetSum> fleet, int hosts, long ageMs) {
        long atNanos = fleet.map(FleetSum::atNanos).orElseGet(clock::nanos);
        PeerLoadSum none = new PeerLoadSum();
        for (EndpointLoadState s : loads.all()) {
            PeerLoadSum sum = direct.get(s.entry().id());
            Optional<EndpointSum> others = fleet.flatMap(f -> f.others(ShortHash.of(s.idHash())));
            if (others.isPresent()) {
                sum = sum == null ? new PeerLoadSum() : sum;
                sum.add(others.get());
            }
            s.onPeerLoad((sum == null ? none : sum).toPeerLoad(hosts, ageMs), atNanos);
        }
    }

    private void removeSilent(long now) {
        peers.entrySet().removeIf(e -> {
            boolean gone = now - e.getValue().lastReportNanos > REMOVAL_SILENCE_NANOS;
            if (gone) {
                namesByHash.remove(e.getValue().hash, e.getKey());
                logPeer(e.getKey(), "gone");
            }
            return gone;
        });
    }

    private void logPeer(String host, String outcome) {
        log.line(LogTopic.PEER)
                .with("peer", host)
                .with("outcome", outcome)
                .with("peers", peers.size())
                .end();
    }

    /**
     * Returns the number of hosts that share the limits of the fleet, including this one and those that are hidden by a
     * network fault; nothing before this process has read the list of hosts.
     */
    public OptionalInt fleetSize() {
        OptionalInt others = members.count(clock.nanos());
        return others.isPresent() ? OptionalInt.of(others.getAsInt() + 1) : others;
    }

    /** Returns the number of peers. */
    public int size() {
        return peers.size();
    }

    /** Returns the names of the peers. */
    public Set<String> hostNames() {
        return Set.copyOf(peers.keySet());
    }

    /**
     * Returns the names of the other hosts among which owners of limits are chosen: those heard within some minutes, and
     * those listed so recently that their first report may be under way.
     */
    public Set<String> rankedHosts() {
        return ranked.names(clock.nanos(), FIRST_REPORT_EXPIRIES * reportExpiryNanos());
    }

    /** Returns the names of the peers that were heard recently. */
    public Set<String> heardHosts() {
        Set<String> heard = new HashSet<>();
        for (Map.Entry<String, Peer> e : peers.entrySet()) {
            if (e.getValue().reporting && mayBeUp(e.getKey())) {
                heard.add(e.getKey());
            }
        }
        return heard;
    }

    /**
     * Returns whether most known peers reported recently. A few that do not have failed; if many do not, this host is cut
     * off from them.
     */
    public boolean hearsMost() {
        long silent = peers.values().stream().filter(p -> !p.reporting).count();
        return silent <= peers.size() * MAX_SILENT_FRACTION;
    }

    /** Returns whether the list of hosts was read and each peer has reported since a time on the monotonic clock. */
    public boolean heardAllSince(long nanos) {
        return isListed() && peers.values().stream().allMatch(p -> p.report != null && p.lastReportNanos - nanos >= 0);
    }

    /**
     * Returns whether a peer is not known to be silent: it was heard recently, or it was listed so recently that its first
     * report may be under way.
     */
    public boolean mayBeUp(String host) {
        Peer p = peers.get(host);
        return p != null && clock.nanos() - p.lastReportNanos < reportExpiryNanos();
    }

    private boolean isReporting(String host) {
        return mayBeUp(host) && peers.get(host).report != null;
    }

    /** Returns whether a peer reported recently that it can reach the store. */
    public boolean reachesStore(String host) {
        return isReporting(host) && peers.get(host).report.news().reachable();
    }

    private long reportExpiryNanos() {
        return Math.max(MIN_REPORT_EXPIRY_NANOS, peers.size() * REPORT_AGE_PER_PEER_NANOS);
    }

    /** Returns the address of a peer. */
    public Optional<HostAddress> addressOf(String host) {
        return Optional.ofNullable(peers.get(host)).map(p -> p.address);
    }

    /** Returns the addresses of the peers that were heard recently and whose loads are not part of the sums. */
    Set<HostAddress> heardOutside(FleetSum fleet) {
        Set<HostAddress> outside = new HashSet<>();
        for (Peer p : peers.values()) {
            if (p.reporting && !fleet.includes(p.hash)) {
                outside.add(p.address);
            }
        }
        return outside;
    }

    /** Returns the address of the peer whose name has a short hash. */
    Optional<HostAddress> addressOfHash(int host) {
        return Optional.ofNullable(namesByHash.get(host)).flatMap(this::addressOf);
    }

    /** Returns whether the list of hosts was read. */
    public boolean isListed() {
        return fleetSize().isPresent();
    }

    /** Returns the addresses of the peers. */
    public List<HostAddress> addresses() {
        List<HostAddress> addresses = new ArrayList<>(peers.size());
        peers.values().forEach(p -> addresses.add(p.address));
        return addresses;
    }

    /** Returns the addresses of those hosts that are known peers. */
    public List<HostAddress> addressesOf(Collection<String> hosts) {
        List<HostAddress> addresses = new ArrayList<>();
        for (String host : hosts) {
            Peer p = peers.get(host);
            if (p != null) {
                addresses.add(p.address);
            }
        }
        return addresses;
    }

    private static final class PeerLoadSum {
        private int inFlight;
        private long unreadTokens;
        private double failureScoreSum;

        void add(EndpointUse use) {
            inFlight += use.inFlight();
            unreadTokens += use.unreadTokens();
            failureScoreSum += use.failureScore();
        }

        void add(EndpointSum sum) {
            inFlight += sum.inFlight();
            unreadTokens += sum.unreadTokens();
            failureScoreSum += sum.failureScore();
        }

        PeerLoad toPeerLoad(int hosts, long ageMs) {
            return new PeerLoad(inFlight, unreadTokens, failureScoreSum / hosts, ageMs);
        }
    }

    private static final class Peer {
        private final int hash;
        private HostAddress address;
        private HostReport report;
        private long lastReportNanos;
        private boolean reporting;
        private boolean inSums;

        Peer(int hash, HostAddress address, long nowNanos) {
            this.hash = hash;
            this.address = address;
            this.lastReportNanos = nowNanos;
        }
    }
}
