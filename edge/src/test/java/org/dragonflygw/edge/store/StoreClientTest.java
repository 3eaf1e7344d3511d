package org.dragonflygw.edge.store;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.dragonflygw.core.settings.HostAddress;
import org.dragonflygw.core.settings.HostBounds;
import org.dragonflygw.core.settings.HostIdentity;
import org.dragonflygw.core.settings.HostSettings;
import org.dragonflygw.core.settings.RetryBounds;
import org.dragonflygw.core.settings.SettingsHolder;
import org.dragonflygw.edge.ops.EdgeMetrics;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class StoreClientTest {
    private static final int BODY_BYTES = 80_000;
    private static final int PARTS = 8;
    private static final long TIMEOUT_MS = 400;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private StoreResponse get(long pauseMs, int sentParts) throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Thread serverThread = new Thread(() -> answer(server, pauseMs, sentParts));
            serverThread.start();
            HostAddress address = new HostAddress("127.0.0.1", server.getLocalPort());
            HostIdentity identity = new HostIdentity("h", "127.0.0.1", "z", address, address, 1);
            HostBounds bounds = new HostBounds(1, 1, 1, 1, new RetryBounds(1, 1, 1), 1, 1);
            SettingsHolder settings = new SettingsHolder(new HostSettings(identity, 0, address, bounds));
            StoreClient client = new StoreClient(group, settings, new EdgeMetrics(new MetricRegistry()));
            CompletableFuture<StoreResponse> future = new CompletableFuture<>();
            group.next().execute(() -> client.get("/rows", TIMEOUT_MS, future::complete));
            StoreResponse response = future.get(30, TimeUnit.SECONDS);
            serverThread.interrupt();
            serverThread.join();
            return response;
        }
    }

    private static void answer(ServerSocket server, long pauseMs, int sentParts) {
        try (Socket s = server.accept()) {
            OutputStream out = s.getOutputStream();
            out.write(("HTTP/1.1 200 OK\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
            for (int i = 0; i < sentParts; i++) {
                out.write(new byte[BODY_BYTES / PARTS]);
                out.flush();
                Thread.sleep(pauseMs);
            }
            Thread.sleep(TimeUnit.SECONDS.toMillis(20));
        } catch (IOException | InterruptedException e) {
            Thread.currentThread().interrupt(); // The test has the response and no longer needs the server.
        }
    }

    /** Guards against timeouts when a configuration of half a megabyte is read over a slow link. */
    @Test
    void responseMayTakeLongerThanTheTimeoutWhileDataArrives() throws Exception {
        StoreResponse response = get(100, PARTS);
        assertThat(response.isOk()).isTrue();
        assertThat(response.body()).hasLength(BODY_BYTES);
    }

    @Test
    void responseThatStopsMidwayTimesOut() throws Exception {
        assertThat(get(0, 2).problem()).isEqualTo("timeout");
    }
}
