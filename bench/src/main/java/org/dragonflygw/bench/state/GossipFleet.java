package org.dragonflygw.bench.state;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.thrift.TDeserializer;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.dragonflygw.core.fleet.HostEntry;
import org.dragonflygw.core.fleet.HostRole;
import org.dragonflygw.core.fleet.HostState;
import org.dragonflygw.core.membership.GossipMessage;
import org.dragonflygw.core.membership.Member;
import org.dragonflygw.core.storage.HostListing;
import org.dragonflygw.wire.codec.GossipCodec;

/** Protocol objects of many daemons, joined by encoded messages, with a clock that moves a round at a time. */
final class GossipFleet {
    static final Duration INTERVAL = Duration.ofSeconds(1);
    private static final int CALL_AND_FRAME_BYTES = 24;

    private final ManualClock clock = new ManualClock();
    private final Map<String, GossipNode> nodes = new LinkedHashMap<>();
    private final Set<String> stopped = new HashSet<>();
    private final TSerializer serializer;
    private final TDeserializer deserializer;
    private boolean regionsParted;
    private int urgentWaves;

    GossipFleet(int daemons, int regions, int engines) throws TException {
        serializer = new TSerializer(new TCompactProtocol.Factory());
        deserializer = new TDeserializer(new TCompactProtocol.Factory());
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < daemons; i++) {
            String id = "router-" + i;
            ids.add(id);
            nodes.put(id, new GossipNode(id, "region-" + i % regions, clock));
        }
        for (int i = 0; i < engines; i++) {
            nodes.get(ids.get(i % daemons)).addEngine("engine-" + i);
        }
        seed();
    }

    Collection<GossipNode> nodes() {
        return nodes.values();
    }

    GossipNode node(int index) {
        return nodes.get("router-" + index);
    }

    void stop(int index) {
        stopped.add("router-" + index);
    }

    void setRegionsPartitioned(boolean parted) {
        regionsParted = parted;
    }

    /** Waves of urgent exchanges in the last round; each takes one trip to a peer and back. */
    int urgentWaves() {
        return urgentWaves;
    }

    void runRound() throws TException {
        clock.advance(INTERVAL);
        for (Map.Entry<String, GossipNode> entry : nodes.entrySet()) {
            if (!stopped.contains(entry.getKey())) {
                entry.getValue().publishLoads();
                for (Member target : entry.getValue().protocol().tick()) {
                    exchange(entry.getValue(), target);
                }
            }
        }
        runUrgentExchanges();
    }

    /** Lets urgent news travel until none is left. */
    void runUrgentExchanges() throws TException {
        urgentWaves = 0;
        boolean more = true;
        while (more) {
            Map<GossipNode, List<Member>> wave = new LinkedHashMap<>();
            for (Map.Entry<String, GossipNode> entry : nodes.entrySet()) {
                if (!stopped.contains(entry.getKey())) {
                    wave.put(entry.getValue(), entry.getValue().protocol().takeUrgentTargets());
                }
            }
            more = wave.values().stream().anyMatch(targets -> !targets.isEmpty());
            urgentWaves += more ? 1 : 0;
            for (Map.Entry<GossipNode, List<Member>> entry : wave.entrySet()) {
                for (Member target : entry.getValue()) {
                    exchange(entry.getKey(), target);
                }
            }
        }
    }

    void seed() {
        List<HostEntry> hosts = new ArrayList<>();
        for (GossipNode node : nodes.values()) {
            Member self = node.protocol().self();
            hosts.add(new HostEntry(
                    self.daemonId(),
                    HostRole.ROUTER,
                    self.address(),
                    self.peerPort(),
                    self.availabilityZone(),
                    self.region(),
                    "",
                    HostState.LIVE));
        }
        HostListing listing = new HostListing(1, hosts);
        nodes.values().forEach(node -> node.protocol().seed(listing));
    }

    private void exchange(GossipNode opener, Member target) throws TException {
        GossipMessage message = opener.protocol().startExchange(target);
        GossipNode peer = nodes.get(target.daemonId());
        boolean cut = regionsParted && !opener.protocol().self().region().equals(target.region());
        if (cut || stopped.contains(target.daemonId())) {
            opener.protocol().failExchange(target.daemonId());
            return;
        }
        opener.protocol().finishExchange(send(peer, peer.protocol().answerExchange(send(opener, message))));
    }

    private GossipMessage send(GossipNode sender, GossipMessage message) throws TException {
        byte[] encoded = serializer.serialize(GossipCodec.toWire(message, clock.instant()));
        sender.recordSentBytes(encoded.length + CALL_AND_FRAME_BYTES);
        org.dragonflygw.wire.gossip.GossipMessage received = new org.dragonflygw.wire.gossip.GossipMessage();
        deserializer.deserialize(received, encoded);
        return GossipCodec.fromWire(received, clock.instant());
    }
}
