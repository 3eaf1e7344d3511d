package org.dragonflygw.edge.upstream;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.dragonflygw.core.discovery.DiscoveredEndpoint;
import org.dragonflygw.core.exchange.EndpointProbe.Result;
import org.dragonflygw.core.log.NoOpEventLog;
import org.dragonflygw.edge.ops.EdgeMetrics;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class ConnectProbeTest {
    private static final int WAIT_S = 5;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final ConnectProbe probe =
            new ConnectProbe(group, new EdgeMetrics(new MetricRegistry()), "", new NoOpEventLog());
    private final BlockingQueue<Result> results = new LinkedBlockingQueue<>();

    @AfterEach
    @SuppressWarnings("FutureReturnValueIgnored") // The threads end with the test.
    void stop() {
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private Result probe(String id, int port) throws InterruptedException {
        DiscoveredEndpoint endpoint = new DiscoveredEndpoint(id, "s", "127.0.0.1", port, "a", 8, false, 0, 1, "v1");
        group.next().execute(() -> probe.probe(endpoint, results::add));
        return results.poll(WAIT_S, TimeUnit.SECONDS);
    }

    private static ServerSocket listen() throws IOException {
        return new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
    }

    /** Guards against a probe that works for the first endpoint only. */
    @Test
    void tellsEachTimeWhetherAnEndpointRefusesConnections() throws IOException, InterruptedException {
        ServerSocket open = listen();
        int closedPort;
        try (ServerSocket closed = listen()) {
            closedPort = closed.getLocalPort();
        }
        for (int i = 0; i < 3; i++) {
            assertThat(probe("alive-" + i, open.getLocalPort())).isEqualTo(Result.ALIVE);
            assertThat(probe("ended-" + i, closedPort)).isEqualTo(Result.ENDED);
        }
        open.close();
    }

    /** Guards against a proxy before an ended endpoint that accepts connections and makes it look alive. */
    @Test
    void doesNotTakeAConnectionThatIsClosedAtOnceForAlive() throws IOException, InterruptedException {
        try (ServerSocket open = listen()) {
            Thread proxy = new Thread(() -> closeFirst(open), "proxy");
            proxy.start();
            assertThat(probe("behind-a-proxy", open.getLocalPort())).isEqualTo(Result.UNKNOWN);
            proxy.join();
        }
    }

    private static void closeFirst(ServerSocket server) {
        try {
            server.accept().close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Guards against an end that is missed because the endpoint was probed shortly before. */
    @Test
    void probesAgainAfterAShortTime() throws IOException, InterruptedException {
        ServerSocket open = listen();
        assertThat(probe("e", open.getLocalPort())).isEqualTo(Result.ALIVE);
        open.close();
        assertThat(probe("e", open.getLocalPort())).isEqualTo(Result.ENDED);
    }
}
