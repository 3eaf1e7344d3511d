package org.dragonflygw.edge.peers;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.dragonflygw.core.peers.PeerTable;
import org.dragonflygw.core.ratelimit.PermitIssuer;
import org.dragonflygw.core.ratelimit.PermitReply;
import org.dragonflygw.core.ratelimit.PermitRequest;
import org.dragonflygw.core.ratelimit.PermitTransport;
import org.dragonflygw.core.settings.HostAddress;
import org.dragonflygw.wire.codec.PeerMessageCodec;
import org.dragonflygw.wire.codec.PeerMessageHandler;

/** Questions to other hosts and their replies, one datagram each. A lost one is not repeated. Used by the event loop only. */
@SuppressWarnings("FutureReturnValueIgnored") // A task of the event loop is lost only when the loop shuts down.
public final class PeerMessages implements PermitTransport {
    /** Time for which a reply is awaited, in milliseconds: many times the usual one, and short against a request. */
    private static final long REPLY_TIMEOUT_MS = 50;

    private final PeerSocket socket;
    private final PeerTable peers;
    private final PermitIssuer permits;
    private final PeerMessageCodec codec = new PeerMessageCodec();
    private final Map<Long, Consumer<Optional<PermitReply>>> permitListeners = new HashMap<>();
    private long nextId;

    /**
     * Creates an exchange of messages.
     *
     * @param permits decides on requests for permits
     */
    public PeerMessages(PeerSocket socket, PeerTable peers, PermitIssuer permits) {
        this.socket = socket;
        this.peers = peers;
        this.permits = permits;
    }

    @Override
    public void ask(String host, PermitRequest request, Consumer<Optional<PermitReply>> listener) {
        Optional<HostAddress> address = peers.addressOf(host);
        if (address.isEmpty() || !socket.isOpen()) {
            listener.accept(Optional.empty());
            return;
        }
        long id = nextId++;
        permitListeners.put(id, listener);
        socket.send(codec.encode(id, request), List.of(address.get()));
        socket.loop().schedule(() -> endPermitRequest(id, Optional.empty()), REPLY_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    private void endPermitRequest(long id, Optional<PermitReply> reply) {
        Consumer<Optional<PermitReply>> listener = permitListeners.remove(id);
        if (listener != null) {
            listener.accept(reply);
        }
    }

    /** Handles a message of another host. */
    public void onMessage(byte[] content, InetSocketAddress sender) {
        codec.decode(content, new PeerMessageHandler() {
            @Override
            public void onPermitRequest(long id, PermitRequest request) {
                socket.reply(codec.encode(id, permits.issue(request)), sender);
            }

            @Override
            public void onPermitReply(long id, PermitReply reply) {
                endPermitRequest(id, Optional.of(reply));
            }
        });
    }
}
