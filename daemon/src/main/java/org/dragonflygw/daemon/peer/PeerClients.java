package org.dragonflygw.daemon.peer;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import io.dropwizard.lifecycle.Managed;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import org.apache.thrift.TApplicationException;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.transport.TSocket;
import org.apache.thrift.transport.TTransportException;
import org.apache.thrift.transport.layered.TFramedTransport;
import org.dragonflygw.wire.gossip.GossipMessage;
import org.dragonflygw.wire.gossip.SheetReply;
import org.dragonflygw.wire.gossip.SheetRequest;
import org.dragonflygw.wire.grants.GrantReply;
import org.dragonflygw.wire.grants.GrantRequest;
import org.dragonflygw.wire.grants.GrantUpdate;
import org.dragonflygw.wire.grants.GrantUpdateReply;
import org.dragonflygw.wire.grants.LoadStatement;
import org.dragonflygw.wire.grants.LoadSum;
import org.dragonflygw.wire.grants.SuspectReply;
import org.dragonflygw.wire.grants.SuspectRequest;
import org.dragonflygw.wire.grants.TeamTokenReply;
import org.dragonflygw.wire.grants.TeamTokenRequest;
import org.dragonflygw.wire.peer.Peer;

/**
 * Calls other daemons over pooled connections. No call is sent twice: a failed call throws a {@link PeerException} and
 * closes its connection. When the outcome is unknown, the idle connections to the same daemon are closed too, because they
 * may be dead as well. Thread-safe; a connection serves one call at a time.
 */
@Singleton
public final class PeerClients implements Managed {
    private static final int CONNECT_TIMEOUT_MILLIS = 500;
    private static final int MAX_IDLE_PER_PEER = 16;

    private final Map<PeerAddress, ConcurrentLinkedDeque<Connection>> idle = new ConcurrentHashMap<>();
    private volatile boolean closed;

    @Inject
    public PeerClients() {}

    /** Asks the steward of an engine for a grant. */
    public GrantReply acquireGrant(PeerAddress peer, GrantRequest request, int timeoutMillis) {
        return call(peer, timeoutMillis, client -> client.acquireGrant(request));
    }

    /** Sends renewals and ends of grants to their steward. */
    public GrantUpdateReply updateGrants(PeerAddress peer, GrantUpdate update, int timeoutMillis) {
        return call(peer, timeoutMillis, client -> client.updateGrants(update));
    }

    /** Takes tokens of a team's rate from the daemon that holds the team's bucket. */
    public TeamTokenReply takeTeamTokens(PeerAddress peer, TeamTokenRequest request, int timeoutMillis) {
        return call(peer, timeoutMillis, client -> client.takeTeamTokens(request));
    }

    /** Asks the owner of a fingerprint whether the request may be attempted. */
    public SuspectReply askSuspect(PeerAddress peer, SuspectRequest request, int timeoutMillis) {
        return call(peer, timeoutMillis, client -> client.askSuspect(request));
    }

    /** Reports loads of engines, and returns the sum over the other engines of the pool. */
    public LoadSum stateLoads(PeerAddress peer, LoadStatement statement, int timeoutMillis) {
        return call(peer, timeoutMillis, client -> client.stateLoads(statement));
    }

    /** Exchanges gossip state with another daemon. */
    public GossipMessage exchange(PeerAddress peer, GossipMessage message, int timeoutMillis) {
        return call(peer, timeoutMillis, client -> client.exchange(message));
    }

    /** Fetches the content of a sheet from another daemon. */
    public SheetReply fetchSheet(PeerAddress peer, SheetRequest request, int timeoutMillis) {
        return call(peer, timeoutMillis, client -> client.fetchSheet(request));
    }

    /** Closes the idle connections to a daemon. */
    public void closeIdle(PeerAddress peer) {
        ConcurrentLinkedDeque<Connection> connections = idle.remove(peer);
        if (connections != null) {
            connections.forEach(Connection::close);
        }
    }

    @Override
    public void stop() {
        closed = true;
        idle.keySet().forEach(this::closeIdle);
    }

    private <T> T call(PeerAddress peer, int timeoutMillis, PeerCall<T> call) {
        Connection connection = take(peer);
        boolean usable = false;
        try {
            connection.socket.setTimeout(timeoutMillis);
            T answer = call.run(connection.client);
            usable = true;
            return answer;
        } catch (TApplicationException e) {
            throw new PeerException(PeerCode.REFUSED, peer + ": " + e.getMessage(), e);
        } catch (TException e) {
            closeIdle(peer);
            throw new PeerException(PeerCode.OUTCOME_UNKNOWN, peer + ": " + e.getMessage(), e);
        } finally {
            if (usable) {
                giveBack(peer, connection);
            } else {
                connection.close();
            }
        }
    }

    private Connection take(PeerAddress peer) {
        ConcurrentLinkedDeque<Connection> connections = idle.get(peer);
        Connection idleConnection = connections == null ? null : connections.pollFirst();
        return idleConnection == null ? Connection.open(peer) : idleConnection;
    }

    private void giveBack(PeerAddress peer, Connection connection) {
        ConcurrentLinkedDeque<Connection> connections =
                idle.computeIfAbsent(peer, key -> new ConcurrentLinkedDeque<>());
        if (closed || connections.size() >= MAX_IDLE_PER_PEER) {
            connection.close();
            return;
        }
        connections.addFirst(connection);
    }

    /** One call on a generated client. */
    private interface PeerCall<T> {
        T run(Peer.Client client) throws TException;
    }

    /** A connection with its generated client. */
    private static final class Connection {
        private final TSocket socket;
        private final TFramedTransport transport;
        private final Peer.Client client;

        private Connection(TSocket socket, TFramedTransport transport) {
            this.socket = socket;
            this.transport = transport;
            this.client = new Peer.Client(new TCompactProtocol(transport));
        }

        static Connection open(PeerAddress peer) {
            try {
                TSocket socket = new TSocket(peer.host(), peer.port(), CONNECT_TIMEOUT_MILLIS);
                TFramedTransport transport = new TFramedTransport(socket, PeerServer.MAX_FRAME_BYTES);
                transport.open();
                return new Connection(socket, transport);
            } catch (TTransportException e) {
                throw new PeerException(PeerCode.NOT_SENT, peer + ": " + e.getMessage(), e);
            }
        }

        void close() {
            transport.close();
        }
    }
}
