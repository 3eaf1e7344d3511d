package org.dragonflygw.edge.peers;

import java.util.List;
import org.dragonflygw.core.log.EventLog;
import org.dragonflygw.core.log.LogTopic;
import org.dragonflygw.core.peers.FleetLoad;
import org.dragonflygw.core.peers.FleetLoads;
import org.dragonflygw.core.peers.HostLoad;
import org.dragonflygw.core.peers.LoadMessages;
import org.dragonflygw.core.settings.HostAddress;
import org.dragonflygw.wire.codec.PeerMessageCodec;

/** Sends and receives the loads of hosts and their sums, one datagram each. Used by the event loop only. */
public final class LoadExchange {
    private final PeerSocket socket;
    private final FleetLoads loads;
    private final EventLog log;
    private final PeerMessageCodec codec = new PeerMessageCodec();

    public LoadExchange(PeerSocket socket, FleetLoads loads, EventLog log) {
        this.socket = socket;
        this.loads = loads;
        this.log = log;
    }

    /** Sends what is due in a round. */
    void send(LoadMessages messages) {
        messages.own().ifPresent(m -> send(codec.encode(m), messages.ownTargets()));
        messages.sums().ifPresent(m -> send(codec.encode(m), messages.sumTargets()));
    }

    private void send(byte[] content, List<HostAddress> targets) {
        if (content.length > PeerSocket.MAX_DATAGRAM_BYTES) {
            log.line(LogTopic.PEER)
                    .with("outcome", "load message too large to send")
                    .with("bytes", content.length)
                    .end();
            return;
        }
        if (!targets.isEmpty()) {
            socket.send(content, targets);
        }
    }

    /** Receives the load of a host, unless it may be older than it states. */
    void onHostLoad(HostLoad load, Datagram datagram) {
        if (!datagram.waited()) {
            loads.onHostLoad(load);
        }
    }

    /** Receives sums, unless they may be older than they state, and passes the datagram on to the next hosts. */
    void onFleetLoad(FleetLoad load, Datagram datagram) {
        if (!datagram.waited()) {
            send(datagram.content(), loads.onFleetLoad(load));
        }
    }
}
