package org.dragonflygw.core.peers;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.dragonflygw.core.dispatch.EndpointLoadState;
import org.dragonflygw.core.dispatch.EndpointLoads;
import org.dragonflygw.core.dispatch.PeerLoad;
import org.dragonflygw.core.lease.MonotonicClock;
import org.dragonflygw.core.log.EventLog;
import org.dragonflygw.core.log.LogTopic;
import org.dragonflygw.core.settings.HostAddress;

/**
 * The other hosts: their addresses and their newest reports. A host that is not heard of for a while no longer counts
 * in the load of endpoints, but it is still told of this host's, since only one direction may be cut. Nothing depends
 * on it: without reports, each host works with what it knows itself. Used by one thread.
 */
public final class PeerTable {
    /** Age from which a report is no longer used, in nanoseconds: several reports were lost then. */
    private static final long MAX_REPORT_AGE_NANOS = 2_500_000_000L;

    /** The same for each host of a large fleet, where reports of one host to another are rarer. */
    private static final long AGE_PER_HOST_NANOS = 60_000_000L;

    /** Silence after which a host is taken as gone, in nanoseconds: longer than a host is frozen or cut off. */
    private static final long MAX_SILENCE_NANOS = 60_000_000_000L;

    private final String self;
    private final EndpointLoads loads;
    private final EventLog log;
    private final MonotonicClock clock;
    private final Map<String, Peer> peers = new HashMap<>();

    /** Makes an empty table. */
    public PeerTable(String self, EndpointLoads loads, EventLog log, MonotonicClock clock) {
        this.self = self;
        this.loads = loads;
        this.log = log;
        this.clock = clock;
    }

    /** Notes that a host exists, as the store says. */
    public void onHostListed(String host, HostAddress address) {
        if (host.equals(self)) {
            return;
        }
        Peer known = peers.get(host);
        if (known == null) {
            peers.put(host, new Peer(address, clock.nanos()));
        } else if (known.report == null) {
            known.address = address;
        }
    }

    /** Takes a report; older ones and this host's own are left out. Returns whether it was taken. */
    public boolean onReport(HostReport report) {
        if (report.host().equals(self)) {
            return false;
        }
        Peer peer = peers.computeIfAbsent(report.host(), h -> new Peer(report.address(), clock.nanos()));
        if (peer.report != null && !report.newerThan(peer.report)) {
            return false;
        }
        if (peer.report == null || !peer.counted) {
            logPeer(report.host(), "heard");
        }
        peer.report = report;
        peer.address = report.address();
        peer.heardNanos = clock.nanos();
        peer.counted = true;
        for (PromptHolding h : report.holdings()) {
            loads.get(h.endpoint()).ifPresent(e -> e.onPromptSentByPeer(h.parts(), clock.nanos()));
        }
        return true;
    }

    /** Brings what other hosts have at endpoints up to date. */
    public void refreshPeerLoads() {
        long now = clock.nanos();
        forgetSilent(now);
        Map<String, Sum> sums = new HashMap<>();
        int heard = 0;
        for (Map.Entry<String, Peer> e : peers.entrySet()) {
            Peer p = e.getValue();
            boolean fresh = p.report != null && now - p.heardNanos < maxReportAgeNanos();
            if (p.counted && !fresh) {
                p.counted = false;
                logPeer(e.getKey(), "silent");
            }
            if (fresh) {
                heard++;
                p.report
                        .uses()
                        .forEach(u -> sums.computeIfAbsent(u.endpoint(), x -> new Sum())
                                .add(u));
            }
        }
        if (heard == 0) {
            return;
        }
        for (EndpointLoadState s : loads.all()) {
            Sum sum = sums.get(s.entry().id());
            s.onPeerLoad(sum == null ? PeerLoad.NONE : sum.use(heard), now);
        }
    }

    private void forgetSilent(long now) {
        peers.entrySet().removeIf(e -> {
            boolean gone = now - e.getValue().heardNanos > MAX_SILENCE_NANOS;
            if (gone) {
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

    /** Hosts that are known, this one included. */
    public int hostCount() {
        return peers.size() + 1;
    }

    /** Names of the other hosts. */
    public Set<String> hostNames() {
        return Set.copyOf(peers.keySet());
    }

    /** Whether a host was heard of lately and said that it reaches the store. */
    public boolean reachesStore(String host) {
        Peer p = peers.get(host);
        return p != null
                && p.report != null
                && p.report.news().reachable()
                && clock.nanos() - p.heardNanos < maxReportAgeNanos();
    }

    private long maxReportAgeNanos() {
        return Math.max(MAX_REPORT_AGE_NANOS, peers.size() * AGE_PER_HOST_NANOS);
    }

    /** Addresses of the other hosts. */
    public List<HostAddress> addresses() {
        List<HostAddress> addresses = new ArrayList<>();
        peers.values().forEach(p -> addresses.add(p.address));
        return addresses;
    }

    private static final class Sum {
        private int inFlight;
        private long unreadTokens;
        private double failures;

        void add(EndpointUse use) {
            inFlight += use.inFlight();
            unreadTokens += use.unreadTokens();
            failures += use.failureScore();
        }

        PeerLoad use(int hosts) {
            return new PeerLoad(inFlight, unreadTokens, failures / hosts);
        }
    }

    private static final class Peer {
        private HostAddress address;
        private HostReport report;
        private long heardNanos;
        private boolean counted;

        Peer(HostAddress address, long nowNanos) {
            this.address = address;
            this.heardNanos = nowNanos;
        }
    }
}
