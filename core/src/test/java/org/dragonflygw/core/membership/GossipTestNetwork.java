package org.dragonflygw.core.membership;

import java.time.Duration;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiPredicate;
import org.dragonflygw.core.config.ActiveSheetHolder;
import org.dragonflygw.core.config.SheetReader;
import org.dragonflygw.core.fleet.HostEntry;
import org.dragonflygw.core.fleet.HostRole;
import org.dragonflygw.core.fleet.HostState;
import org.dragonflygw.core.retry.Quarantine;
import org.dragonflygw.core.routing.EndpointLoad;
import org.dragonflygw.core.storage.HostListing;
import org.dragonflygw.core.timeline.EventRecorder;
import org.dragonflygw.core.timeline.HybridClock;
import org.threeten.extra.MutableClock;

/** Gossip protocol objects joined by direct calls, with a test clock, cut links and paused daemons. */
final class GossipTestNetwork {
    static final Duration INTERVAL = Duration.ofSeconds(1);

    final MutableClock clock = MutableClock.of(Instant.ofEpochMilli(1_000_000), ZoneOffset.UTC);
    final Map<String, Node> nodes = new TreeMap<>();
    final Set<String> paused = new HashSet<>();
    private final Set<String> stopped = new HashSet<>();
    private BiPredicate<String, String> connected = (from, to) -> true;

    /** One daemon. */
    static final class Node {
        final GossipProtocol protocol;
        final ActiveSheetHolder sheets = new ActiveSheetHolder(new SheetReader(), EventRecorder.DISCARD);
        final List<EndpointLoad> ownLoads = new ArrayList<>();
        final Map<String, EndpointLoad> heardLoads = new TreeMap<>();
        final Quarantine quarantine;

        Node(GossipTestNetwork net, String id, String region, long incarnation) {
            Member self = new Member(id, "10.0.0.1", 8082, 8081, "az-a", region, incarnation, MemberStatus.ALIVE);
            quarantine = new Quarantine(100, net.clock);
            GossipPayloads feeds = new GossipPayloads(
                    sheets, () -> ownLoads, load -> heardLoads.put(load.endpointId(), load), quarantine);
            protocol = new GossipProtocol(
                    self,
                    GossipSettings.of(INTERVAL, 19_000),
                    feeds,
                    net.clock,
                    new HybridClock(net.clock),
                    new Random(id.hashCode()),
                    EventRecorder.DISCARD);
        }
    }

    static GossipTestNetwork of(int daemons) {
        GossipTestNetwork net = new GossipTestNetwork();
        for (int i = 0; i < daemons; i++) {
            net.start("d" + i, "r1");
        }
        net.seed();
        return net;
    }

    Node start(String id, String region) {
        stopped.remove(id);
        paused.remove(id);
        Node node = new Node(this, id, region, clock.millis());
        nodes.put(id, node);
        return node;
    }

    void stop(String id) {
        stopped.add(id);
    }

    /** Gives every daemon the host list of all running daemons. */
    void seed() {
        List<HostEntry> hosts = new ArrayList<>();
        for (Map.Entry<String, Node> entry : nodes.entrySet()) {
            Member self = entry.getValue().protocol.self();
            hosts.add(new HostEntry(
                    self.daemonId(), HostRole.ROUTER, self.address(), 8082, "az-a", self.region(), "", HostState.LIVE));
        }
        running().forEach(id -> nodes.get(id).protocol.seed(new HostListing(1, hosts)));
    }

    void connect(BiPredicate<String, String> rule) {
        connected = rule;
    }

    List<String> running() {
        return nodes.keySet().stream().filter(id -> !stopped.contains(id)).toList();
    }

    void rounds(int count) {
        for (int i = 0; i < count; i++) {
            clock.add(INTERVAL);
            for (String id : running()) {
                if (!paused.contains(id)) {
                    nodes.get(id).protocol.tick().forEach(target -> exchange(id, target));
                }
            }
            urgent();
        }
    }

    /** Lets daemons with urgent news exchange until none has any. */
    void urgent() {
        boolean more = true;
        while (more) {
            more = false;
            for (String id : running()) {
                List<Member> targets =
                        paused.contains(id) ? List.of() : nodes.get(id).protocol.takeUrgentTargets();
                targets.forEach(target -> exchange(id, target));
                more |= !targets.isEmpty();
            }
        }
    }

    private void exchange(String from, Member target) {
        GossipProtocol opener = nodes.get(from).protocol;
        GossipMessage message = opener.startExchange(target);
        String to = target.daemonId();
        boolean reached = nodes.containsKey(to) && !stopped.contains(to) && !paused.contains(to);
        if (!reached || !connected.test(from, to)) {
            opener.failExchange(to);
            return;
        }
        opener.finishExchange(nodes.get(to).protocol.answerExchange(message));
    }

    /** Whether all running daemons see exactly the running ones, alive. */
    boolean converged() {
        List<String> running = running();
        return running.stream().allMatch(id -> {
            List<Member> seen = nodes.get(id).protocol.members();
            return seen.stream().map(Member::daemonId).toList().equals(running)
                    && seen.stream().allMatch(member -> member.status() == MemberStatus.ALIVE);
        });
    }

    MemberStatus statusOf(String daemonId, String seenBy) {
        return nodes.get(seenBy).protocol.members().stream()
                .filter(member -> member.daemonId().equals(daemonId))
                .map(Member::status)
                .findFirst()
                .orElse(MemberStatus.DEAD);
    }
}
