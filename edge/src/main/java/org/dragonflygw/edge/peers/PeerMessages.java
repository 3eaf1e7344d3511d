package org.dragonflygw.edge.peers;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.dragonflygw.core.peers.FleetLoad;
import org.dragonflygw.core.peers.HostLoad;
import org.dragonflygw.core.peers.PeerTable;
import org.dragonflygw.core.ratelimit.PermitIssuer;
import org.dragonflygw.core.ratelimit.PermitReply;
import org.dragonflygw.core.ratelimit.PermitRequest;
import org.dragonflygw.core.ratelimit.PermitTransport;
import org.dragonflygw.core.resume.OriginReply;
import org.dragonflygw.core.resume.OriginTransport;
import org.dragonflygw.core.resume.StreamOrigin;
import org.dragonflygw.core.resume.StreamOrigins;
import org.dragonflygw.core.settings.HostAddress;
import org.dragonflygw.wire.codec.PeerMessageCodec;
import org.dragonflygw.wire.codec.PeerMessageHandler;

/** Questions to other hosts and their replies, one datagram each. A lost one is not repeated. Used by the event loop only. */
public final class PeerMessages implements PermitTransport, OriginTransport {
    /** Time for which a permit is awaited, in milliseconds: many times the usual one, and short against a request. */
    private static final long PERMIT_TIMEOUT_MS = 50;

    /** Time for which it is awaited where a stream began, in milliseconds; without that the caller is refused. */
    private static final long ORIGIN_TIMEOUT_MS = 200;

    private final PeerSocket socket;
    private final PeerTable peers;
    private final PeerMessageCodec codec = new PeerMessageCodec();
    private final PendingReplies<PermitReply> permitReplies;
    private final PendingReplies<OriginReply> originReplies;

    public PeerMessages(PeerSocket socket, PeerTable peers) {
        this.socket = socket;
        this.peers = peers;
        this.permitReplies = new PendingReplies<>(socket, PERMIT_TIMEOUT_MS);
        this.originReplies = new PendingReplies<>(socket, ORIGIN_TIMEOUT_MS);
    }

    @Override
    public void ask(String host, PermitRequest request, Consumer<Optional<PermitReply>> listener) {
        Optional<HostAddress> address = addressOf(host);
        if (address.isEmpty()) {
            listener.accept(Optional.empty());
            return;
        }
        socket.send(codec.encode(permitReplies.add(listener), request), List.of(address.get()));
    }

    @Override
    public void tell(List<String> hosts, String attempt, StreamOrigin origin) {
        List<HostAddress> addresses =
                hosts.stream().flatMap(h -> addressOf(h).stream()).toList();
        if (!addresses.isEmpty()) {
            socket.send(codec.encode(attempt, origin), addresses);
        }
    }

    @Override
    public void ask(String host, String attempt, String service, Consumer<Optional<OriginReply>> listener) {
        Optional<HostAddress> address = addressOf(host);
        if (address.isEmpty()) {
            listener.accept(Optional.empty());
            return;
        }
        socket.send(codec.encode(originReplies.add(listener), attempt, service), List.of(address.get()));
    }

    private Optional<HostAddress> addressOf(String host) {
        return socket.isOpen() ? peers.addressOf(host) : Optional.empty();
    }

    /**
     * Returns what handles the messages of other hosts.
     *
     * @param permits decides on requests for permits
     * @param origins keeps where streams began
     * @param loads receives loads of hosts
     */
    public PeerSocket.Handler handler(PermitIssuer permits, StreamOrigins origins, LoadExchange loads) {
        return datagram -> codec.decode(datagram.content(), new Receiver(permits, origins, loads, datagram));
    }

    private final class Receiver implements PeerMessageHandler {
        private final PermitIssuer permits;
        private final StreamOrigins origins;
        private final LoadExchange loads;
        private final Datagram datagram;

        Receiver(PermitIssuer permits, StreamOrigins origins, LoadExchange loads, Datagram datagram) {
            this.permits = permits;
            this.origins = origins;
            this.loads = loads;
            this.datagram = datagram;
        }

        @Override
        public void onPermitRequest(long id, PermitRequest request) {
            socket.reply(codec.encode(id, permits.issue(request)), datagram.sender());
        }

        @Override
        public void onPermitReply(long id, PermitReply reply) {
            permitReplies.end(id, Optional.of(reply));
        }

        @Override
        public void onStreamOrigin(String attempt, StreamOrigin origin) {
            origins.onTold(attempt, origin);
        }

        @Override
        public void onOriginRequest(long id, String attempt, String service) {
            socket.reply(codec.encode(id, origins.reply(attempt, service)), datagram.sender());
        }

        @Override
        public void onOriginReply(long id, OriginReply reply) {
            originReplies.end(id, Optional.of(reply));
        }

        @Override
        public void onHostLoad(HostLoad load) {
            loads.onHostLoad(load, datagram);
        }

        @Override
        public void onFleetLoad(FleetLoad load) {
            loads.onFleetLoad(load, datagram);
        }
    }
}
