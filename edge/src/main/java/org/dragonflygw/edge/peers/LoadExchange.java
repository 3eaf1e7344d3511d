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
    /**
     * Time since the last round, in nanoseconds, above which received loads are ignored: this process was paused, and
     * queued datagrams may be older than they state.
     */
    private static final long MAX_STALL_NANOS = 600_000_000L;

    private final PeerSocket socket;
    private final FleetLoads loads;
    private final EventLog log;
    private final PeerMessageCodec codec = new PeerMessageCodec();
    private long lastRoundNanos;

    public LoadExchange(PeerSocket socket, FleetLoads loads, EventLog log) {
        this.socket = socket;
        this.loads = loads;
        this.log = log;
    }

    /** Sends what is due in a round. */
    void send(LoadMessages messages) {
        lastRoundNanos = System.nanoTime();
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

    void onHostLoad(HostLoad load) {
        if (!isStalled()) {
            loads.onHostLoad(load);
        }
    }

    /** Receives sums, and passes the datagram on to the next hosts. */
    void onFleetLoad(FleetLoad load, byte[] content) {
        if (!isStalled()) {
            send(content, loads.onFleetLoad(load));
        }
    }

    private boolean isStalled() {
        return System.nanoTime() - lastRoundNanos > MAX_STALL_NANOS;
    }
}
