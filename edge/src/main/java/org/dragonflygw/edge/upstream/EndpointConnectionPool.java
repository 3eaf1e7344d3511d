package org.dragonflygw.edge.upstream;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.dragonflygw.core.discovery.DiscoveredEndpoint;
import org.dragonflygw.core.exchange.Attempt;
import org.dragonflygw.core.exchange.AttemptFailure;
import org.dragonflygw.core.exchange.AttemptListener;
import org.dragonflygw.core.exchange.EndpointNotices;
import org.dragonflygw.core.log.EventLog;
import org.dragonflygw.core.paths.EndpointPaths;
import org.dragonflygw.edge.http.ResponseChannel;
import org.dragonflygw.edge.memory.HeaderAccount;
import org.dragonflygw.edge.memory.HeaderBudget;
import org.dragonflygw.edge.ops.EdgeMetrics;
import org.dragonflygw.platform.adapter.EndpointHeaders;

/** Pool of connections to endpoints that are kept open and reused between requests. Used by the event loop only. */
@SuppressWarnings("FutureReturnValueIgnored") // A failed write or close is reported as the end of the connection.
public final class EndpointConnectionPool {
    /** Timeout for opening a connection, in milliseconds. TCP would repeat a lost handshake packet only after 1 s. */
    private static final int CONNECT_TIMEOUT_MS = 450;

    /** Longest idle time after which a connection is reused, in nanoseconds; endpoints close idle connections later. */
    private static final long MAX_IDLE_NANOS = 4_000_000_000L;

    /**
     * Longest idle time in nanoseconds for requests that may not be sent twice, whose outcome would be unknown if the
     * connection were dead.
     */
    private static final long MAX_IDLE_NON_REPEATABLE_NANOS = 1_000_000_000L;

    private static final int MAX_LINE_BYTES = 4_096;
    private static final int MAX_HEADER_BYTES = 32_768;
    private static final int MAX_CHUNK_BYTES = 16_384;

    /**
     * Maximum number of bytes between two parts of a response that are forwarded: several heads and a late response to
     * another request.
     */
    private static final long MAX_SKIPPED_BYTES = 262_144;

    private final Bootstrap bootstrap;
    private final EndpointHeaders headers;
    private final EndpointNotices notices;
    private final EndpointPaths paths;
    private final EdgeMetrics metrics;
    private final HeaderBudget headerBudget;
    private final UnusedResponses unused;
    private final IdleLimits idleLimits = new IdleLimits();
    private final Map<String, Deque<EndpointConnection>> idle = new HashMap<>();

    /**
     * Creates an empty pool.
     *
     * @param notices applies what endpoints say in responses that nobody waits for
     * @param paths learns which endpoints can be reached
     * @param headerBudget memory for the heads of all connections
     * @param log receives a line for all that endpoints send and no caller gets
     */
    public EndpointConnectionPool(
            EventLoopGroup group,
            EndpointHeaders headers,
            EndpointNotices notices,
            EndpointPaths paths,
            EdgeMetrics metrics,
            HeaderBudget headerBudget,
            EventLog log) {
        this.headers = headers;
        this.notices = notices;
        this.paths = paths;
        this.metrics = metrics;
        this.headerBudget = headerBudget;
        this.unused = new UnusedResponses(log, metrics);
        this.bootstrap = new Bootstrap()
                .group(group)
                .channel(ResponseChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(new ChannelInitializer<ResponseChannel>() {
                    @Override
                    protected void initChannel(ResponseChannel channel) {
                        initialize(channel);
                    }
                });
    }

    private void initialize(ResponseChannel channel) {
        HeaderAccount account = headerBudget.open("endpoint", channel);
        HttpDecoderConfig config = account.decoderConfig()
                .setMaxInitialLineLength(MAX_LINE_BYTES)
                .setMaxHeaderSize(MAX_HEADER_BYTES)
                .setMaxChunkSize(MAX_CHUNK_BYTES);
        SkippedByteLimit limit = new SkippedByteLimit(MAX_SKIPPED_BYTES);
        EndpointResponseDecoder decoder = new EndpointResponseDecoder(channel, config);
        EndpointConnection connection =
                new EndpointConnection(this, headers, notices, paths, unused, limit, decoder, account);
        channel.pipeline()
                .addLast(connection.guard())
                .addLast(limit)
                .addLast(decoder)
                .addLast(new HttpRequestEncoder())
                .addLast(connection);
    }

    /** Sends a request on an idle or a new connection; the listener receives the outcome on the event loop. */
    public Attempt send(EndpointRequest request, AttemptListener listener) {
        PendingAttempt attempt = new PendingAttempt(listener);
        EndpointConnection reused = takeIdle(request);
        if (reused != null) {
            attempt.bind(reused);
            reused.send(request, attempt);
            return attempt;
        }
        DiscoveredEndpoint endpoint = request.dispatch().endpoint();
        metrics.onEndpointConnectionOpened();
        request.body().retain();
        bootstrap.connect(endpoint.host(), endpoint.port()).addListener((ChannelFuture f) -> {
            onConnected(f, request, attempt);
            request.body().release();
        });
        return attempt;
    }

    private void onConnected(ChannelFuture future, EndpointRequest request, PendingAttempt attempt) {
        if (!future.isSuccess()) {
            paths.onConnectionFailed(request.dispatch().endpoint());
            boolean timeout = future.cause() instanceof ConnectTimeoutException;
            if (!timeout) {
                notices.onConnectionLost(request.dispatch().endpoint());
            }
            attempt.onFailed(timeout ? AttemptFailure.CONNECT_TIMEOUT : AttemptFailure.CONNECT_REFUSED);
            return;
        }
        if (!attempt.mayStillSend()) {
            future.channel().close();
            attempt.onFailed(AttemptFailure.WITHDRAWN);
            return;
        }
        EndpointConnection connection = future.channel().pipeline().get(EndpointConnection.class);
        connection.endpoint(request.dispatch().endpoint());
        attempt.bind(connection);
        connection.send(request, attempt);
    }

    private EndpointConnection takeIdle(EndpointRequest request) {
        Deque<EndpointConnection> connections =
                idle.get(request.dispatch().endpoint().id());
        long now = System.nanoTime();
        long defaultLimit = request.dispatch().freshConnection() ? MAX_IDLE_NON_REPEATABLE_NANOS : MAX_IDLE_NANOS;
        long maxIdle = idleLimits.limitNanos(request.dispatch().endpoint().id(), defaultLimit, now);
        while (connections != null && !connections.isEmpty()) {
            EndpointConnection c = connections.peekLast();
            if (c.isUsable(request.dispatch().endpoint(), now, MAX_IDLE_NANOS)) {
                if (now - c.idleSinceNanos() > maxIdle) {
                    return null;
                }
                connections.pollLast();
                return c;
            }
            connections.pollLast();
            c.close();
        }
        return null;
    }

    void onIdle(EndpointConnection connection) {
        Deque<EndpointConnection> connections =
                idle.computeIfAbsent(connection.endpoint().id(), id -> new ArrayDeque<>());
        connections.addLast(connection);
        long now = System.nanoTime();
        while (connections.peekFirst() != null && now - connections.peekFirst().idleSinceNanos() > MAX_IDLE_NANOS) {
            connections.pollFirst().close();
        }
    }

    /**
     * Called when a reused connection was lost before the response began.
     *
     * @param idleNanos how long the connection was idle before the request was sent, in nanoseconds
     */
    void onReusedConnectionLost(DiscoveredEndpoint endpoint, long idleNanos) {
        idleLimits.onConnectionLost(endpoint.id(), idleNanos, System.nanoTime());
    }

    /** Called when a connection has ended; returns whether it was idle. */
    boolean onClosed(EndpointConnection connection) {
        if (connection.endpoint() == null) {
            return false;
        }
        Deque<EndpointConnection> connections = idle.get(connection.endpoint().id());
        boolean wasIdle = connections != null && connections.remove(connection);
        if (wasIdle && connections.isEmpty()) {
            idle.remove(connection.endpoint().id());
        }
        return wasIdle;
    }

    /** Closes the idle connections to an endpoint that was removed. */
    public void removeEndpoint(DiscoveredEndpoint endpoint) {
        idleLimits.removeEndpoint(endpoint.id());
        closeIdle(endpoint.id());
    }

    /** Closes the idle connections to an endpoint. */
    public void closeIdle(String endpointId) {
        Deque<EndpointConnection> connections = idle.remove(endpointId);
        if (connections != null) {
            connections.forEach(EndpointConnection::close);
        }
    }
}
