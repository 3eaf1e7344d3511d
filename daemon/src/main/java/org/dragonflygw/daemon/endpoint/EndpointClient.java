package org.dragonflygw.daemon.endpoint;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import java.io.IOException;
import java.io.InterruptedIOException;
import java.net.SocketTimeoutException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.hc.client5.http.HttpRoute;
import org.apache.hc.client5.http.config.ConnectionConfig;
import org.apache.hc.client5.http.impl.io.PoolingHttpClientConnectionManager;
import org.apache.hc.client5.http.impl.io.PoolingHttpClientConnectionManagerBuilder;
import org.apache.hc.client5.http.io.ConnectionEndpoint;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.impl.io.HttpRequestExecutor;
import org.apache.hc.core5.http.io.SocketConfig;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.http.protocol.HttpProcessor;
import org.apache.hc.core5.http.protocol.HttpProcessorBuilder;
import org.apache.hc.core5.http.protocol.RequestContent;
import org.apache.hc.core5.http.protocol.RequestTargetHost;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.pool.PoolConcurrencyPolicy;
import org.apache.hc.core5.pool.PoolReusePolicy;
import org.apache.hc.core5.util.TimeValue;
import org.apache.hc.core5.util.Timeout;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.dragonflygw.core.fleet.Endpoint;
import org.dragonflygw.platform.http.CleanConnectionExecutor;
import org.dragonflygw.platform.http.StrictLineParser;
import org.dragonflygw.wire.settings.RouterSettings;

/**
 * Sends requests to endpoints over pooled connections. Uses connections leased from the pool directly instead of the
 * request chain of the HTTP client, for two reasons: a request is never resent implicitly, and a failure to connect
 * (nothing was sent) is told apart from a loss after the connection was made. Thread-safe.
 */
@Singleton
public final class EndpointClient implements AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(EndpointClient.class);
    private static final long CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final long LEASE_TIMEOUT_MILLIS = 1_000;
    private static final long VALIDATE_AFTER_MILLIS = 500;
    private static final long KEEP_ALIVE_MILLIS = 30_000;
    private static final int SPARE_CONNECTIONS = 256;

    /** Stands for a request where nothing is sent. */
    private static final ClassicHttpRequest CHECK = new BasicClassicHttpRequest("GET", "/");

    private final PoolingHttpClientConnectionManager connections;
    private final HttpRequestExecutor executor = new HttpRequestExecutor();
    private final HttpProcessor processor = HttpProcessorBuilder.create()
            .addAll(new RequestTargetHost(), new RequestContent())
            .build();

    @Inject
    public EndpointClient(RouterSettings settings) {
        this(settings.getMaxOpenRequests() + SPARE_CONNECTIONS);
    }

    EndpointClient(int maxConnections) {
        this.connections = PoolingHttpClientConnectionManagerBuilder.create()
                .setMaxConnTotal(maxConnections)
                .setMaxConnPerRoute(maxConnections)
                .setConnectionFactory(StrictLineParser.connectionFactory())
                .setPoolConcurrencyPolicy(PoolConcurrencyPolicy.LAX)
                .setConnPoolPolicy(PoolReusePolicy.LIFO)
                .setDefaultSocketConfig(
                        SocketConfig.custom().setTcpNoDelay(true).build())
                .setDefaultConnectionConfig(ConnectionConfig.custom()
                        .setConnectTimeout(Timeout.ofMilliseconds(CONNECT_TIMEOUT_MILLIS))
                        .setValidateAfterInactivity(TimeValue.ofMilliseconds(VALIDATE_AFTER_MILLIS))
                        .build())
                .build();
    }

    /**
     * Sends a request and waits for the status line and headers of the response.
     *
     * @param endpoint endpoint to send to
     * @param request the request
     * @param silenceMillis how long the connection may stay silent, in milliseconds
     * @param options connection to use, and a last check before sending
     * @throws EndpointException when no response arrived
     */
    public EndpointExchange send(Endpoint endpoint, EndpointRequest request, long silenceMillis, SendOptions options) {
        HttpHost host = new HttpHost(endpoint.address(), endpoint.port());
        ConnectionEndpoint connection = connect(endpoint, new HttpRoute(host), options.freshConnection());
        boolean answered = false;
        try {
            connection.setSocketTimeout(Timeout.ofMilliseconds(silenceMillis));
            HttpCoreContext context = HttpCoreContext.create();
            ClassicHttpRequest message = message(host, request);
            executor.preProcess(message, processor, context);
            if (!options.maySend().getAsBoolean()) {
                throw new EndpointException(
                        EndpointCode.DISPATCH_WITHDRAWN, "the request was withdrawn before it was sent");
            }
            ClassicHttpResponse response = connection.execute(
                    Long.toHexString(System.identityHashCode(request)), message, executor::execute, context);
            answered = true;
            return new EndpointExchange(connections, connection, response, TimeValue.ofMilliseconds(KEEP_ALIVE_MILLIS));
        } catch (SocketTimeoutException e) {
            closeIdle();
            throw new EndpointException(
                    EndpointCode.CONNECTION_SILENT, endpoint.id() + " sent nothing for " + silenceMillis + " ms", e);
        } catch (IOException e) {
            throw new EndpointException(
                    EndpointCode.CONNECTION_LOST, "connection to " + endpoint.id() + " lost: " + e, e);
        } catch (HttpException e) {
            throw new EndpointException(EndpointCode.MALFORMED_ANSWER, endpoint.id() + " sent invalid HTTP: " + e, e);
        } finally {
            if (!answered) {
                discard(connection);
            }
        }
    }

    /**
     * Closes all idle connections. Called when one connection went silent, because connections often go silent
     * together.
     */
    public void closeIdle() {
        connections.closeIdle(TimeValue.ZERO_MILLISECONDS);
    }

    @Override
    public void close() {
        connections.close(CloseMode.IMMEDIATE);
    }

    private ConnectionEndpoint connect(Endpoint endpoint, HttpRoute route, boolean fresh) {
        ConnectionEndpoint connection = lease(endpoint, route);
        boolean connected = false;
        try {
            if (connection.isConnected() && (fresh || hasUnreadBytes(connection))) {
                connection.close(CloseMode.IMMEDIATE);
            }
            if (!connection.isConnected()) {
                connections.connect(
                        connection, TimeValue.ofMilliseconds(CONNECT_TIMEOUT_MILLIS), HttpCoreContext.create());
            }
            connected = true;
            return connection;
        } catch (IOException e) {
            throw new EndpointException(EndpointCode.NOT_CONNECTED, "cannot connect to " + endpoint.id() + ": " + e, e);
        } finally {
            if (!connected) {
                discard(connection);
            }
        }
    }

    /**
     * Whether bytes came after the last response on a connection, which would become a part of the next one. A connection that
     * cannot be read is not used again either.
     */
    private static boolean hasUnreadBytes(ConnectionEndpoint connection) {
        AtomicBoolean unread = new AtomicBoolean();
        try {
            connection.execute(
                    "check",
                    CHECK,
                    (request, c, context) -> {
                        unread.set(CleanConnectionExecutor.hasUnreadBytes(c));
                        return null;
                    },
                    HttpCoreContext.create());
            return unread.get();
        } catch (IOException | HttpException e) {
            LOG.debug("an idle connection cannot be used again: {}", e.toString());
            return true;
        }
    }

    private ConnectionEndpoint lease(Endpoint endpoint, HttpRoute route) {
        try {
            return connections
                    .lease(endpoint.id(), route, Timeout.ofMilliseconds(LEASE_TIMEOUT_MILLIS), null)
                    .get(Timeout.ofMilliseconds(LEASE_TIMEOUT_MILLIS));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new EndpointException(
                    EndpointCode.NOT_CONNECTED, "interrupted while waiting for a connection to " + endpoint.id(), e);
        } catch (ExecutionException | TimeoutException e) {
            throw new EndpointException(EndpointCode.NOT_CONNECTED, "no free connection to " + endpoint.id(), e);
        }
    }

    private void discard(ConnectionEndpoint connection) {
        connection.close(CloseMode.IMMEDIATE);
        connections.release(connection, null, TimeValue.ZERO_MILLISECONDS);
    }

    private static ClassicHttpRequest message(HttpHost host, EndpointRequest request) {
        ClassicHttpRequest message = new BasicClassicHttpRequest(request.method(), host, request.path());
        for (EndpointRequest.Header header : request.headers()) {
            message.addHeader(header.name(), header.value());
        }
        if (request.body().length > 0 || !request.contentType().isEmpty()) {
            ContentType type = request.contentType().isEmpty() ? null : ContentType.parseLenient(request.contentType());
            message.setEntity(new ByteArrayEntity(request.body(), type));
        }
        return message;
    }

    /** Converts a failure to read a response body. */
    static EndpointException readFailure(String endpointId, IOException e) {
        EndpointCode code =
                e instanceof InterruptedIOException ? EndpointCode.CONNECTION_SILENT : EndpointCode.CONNECTION_LOST;
        return new EndpointException(code, "cannot read the response of " + endpointId + ": " + e, e);
    }
}
