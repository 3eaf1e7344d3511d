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
final class ProtocolFleet {
    static final Duration INTERVAL = Duration.ofSeconds(1);
    private static final int CALL_AND_FRAME_BYTES = 24;

    private final ManualClock clock = new ManualClock();
    private final Map<String, ProtocolNode> nodes = new LinkedHashMap<>();
    private final Set<String> stopped = new HashSet<>();
    private final TSerializer serializer;
    private final TDeserializer deserializer;
    private boolean regionsParted;
    private int urgentWaves;

    ProtocolFleet(int daemons, int regions, int engines) throws TException {
        serializer = new TSerializer(new TCompactProtocol.Factory());
        deserializer = new TDeserializer(new TCompactProtocol.Factory());
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < daemons; i++) {
            String id = "router-" + i;
            ids.add(id);
            nodes.put(id, new ProtocolNode(id, "region-" + i % regions, clock));
        }
        for (int i = 0; i < engines; i++) {
            nodes.get(ids.get(i % daemons)).steward("engine-" + i);
        }
        seed();
    }

    Collection<ProtocolNode> nodes() {
        return nodes.values();
    }

    ProtocolNode node(int index) {
        return nodes.get("router-" + index);
    }

    void stop(int index) {
        stopped.add("router-" + index);
    }

    void partRegions(boolean parted) {
        regionsParted = parted;
    }

    /** Waves of urgent exchanges in the last round; each takes one trip to a peer and back. */
    int urgentWaves() {
        return urgentWaves;
    }

    void round() throws TException {
        clock.advance(INTERVAL);
        for (Map.Entry<String, ProtocolNode> entry : nodes.entrySet()) {
            if (!stopped.contains(entry.getKey())) {
                entry.getValue().stateLoads();
                for (Member target : entry.getValue().protocol().tick()) {
                    exchange(entry.getValue(), target);
                }
            }
        }
        spreadUrgent();
    }

    /** Lets urgent news travel until none is left. */
    void spreadUrgent() throws TException {
        urgentWaves = 0;
        boolean more = true;
        while (more) {
            Map<ProtocolNode, List<Member>> wave = new LinkedHashMap<>();
            for (Map.Entry<String, ProtocolNode> entry : nodes.entrySet()) {
                if (!stopped.contains(entry.getKey())) {
                    wave.put(entry.getValue(), entry.getValue().protocol().takeUrgentTargets());
                }
            }
            more = wave.values().stream().anyMatch(targets -> !targets.isEmpty());
            urgentWaves += more ? 1 : 0;
            for (Map.Entry<ProtocolNode, List<Member>> entry : wave.entrySet()) {
                for (Member target : entry.getValue()) {
                    exchange(entry.getKey(), target);
                }
            }
        }
    }

    void seed() {
        List<HostEntry> hosts = new ArrayList<>();
        for (ProtocolNode node : nodes.values()) {
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

    private void exchange(ProtocolNode opener, Member target) throws TException {
        GossipMessage message = opener.protocol().startExchange(target);
        ProtocolNode peer = nodes.get(target.daemonId());
        boolean cut = regionsParted && !opener.protocol().self().region().equals(target.region());
        if (cut || stopped.contains(target.daemonId())) {
            opener.protocol().failExchange(target.daemonId());
            return;
        }
        opener.protocol().finishExchange(send(peer, peer.protocol().answerExchange(send(opener, message))));
    }

    private GossipMessage send(ProtocolNode sender, GossipMessage message) throws TException {
        byte[] encoded = serializer.serialize(GossipCodec.toWire(message, clock.instant()));
        sender.sent(encoded.length + CALL_AND_FRAME_BYTES);
        org.dragonflygw.wire.gossip.GossipMessage received = new org.dragonflygw.wire.gossip.GossipMessage();
        deserializer.deserialize(received, encoded);
        return GossipCodec.fromWire(received, clock.instant());
    }
}
