package org.dragonflygw.edge.store;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.dragonflygw.core.settings.HostAddress;
import org.dragonflygw.core.settings.HostBounds;
import org.dragonflygw.core.settings.HostIdentity;
import org.dragonflygw.core.settings.HostSettings;
import org.dragonflygw.core.settings.RetryBounds;
import org.dragonflygw.core.settings.SettingsHolder;
import org.dragonflygw.edge.ops.EdgeMetrics;

/** Calls a store on the loopback address by a client with an event loop of its own. */
@SuppressWarnings("FutureReturnValueIgnored") // The loop ends with the test.
final class StoreCalls implements AutoCloseable {
    private static final long OUTCOME_TIMEOUT_S = 30;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final StoreClient client;
    private final long timeoutMs;

    StoreCalls(int port, long timeoutMs) {
        HostAddress address = new HostAddress("127.0.0.1", port);
        HostIdentity identity = new HostIdentity("h", "127.0.0.1", "z", address, address, 1);
        HostBounds bounds = new HostBounds(1, 1, 1, 1, new RetryBounds(1, 1, 1), 1, 1, 0, false);
        SettingsHolder settings = new SettingsHolder(new HostSettings(identity, 0, address, bounds));
        this.client = new StoreClient(group, settings, new EdgeMetrics(new MetricRegistry()));
        this.timeoutMs = timeoutMs;
    }

    StoreResponse get() throws Exception {
        CompletableFuture<StoreResponse> response = new CompletableFuture<>();
        group.next().execute(() -> client.get("/rows", timeoutMs, response::complete));
        return response.get(OUTCOME_TIMEOUT_S, TimeUnit.SECONDS);
    }

    StoreResponse post(byte[] body) throws Exception {
        CompletableFuture<StoreResponse> response = new CompletableFuture<>();
        group.next().execute(() -> client.post("/change", body, timeoutMs, response::complete));
        return response.get(OUTCOME_TIMEOUT_S, TimeUnit.SECONDS);
    }

    /** Makes two calls, the second directly when the first is complete; returns the second response. */
    StoreResponse getTwice() throws Exception {
        CompletableFuture<StoreResponse> second = new CompletableFuture<>();
        group.next()
                .execute(() ->
                        client.get("/rows", timeoutMs, first -> client.get("/rows", timeoutMs, second::complete)));
        return second.get(OUTCOME_TIMEOUT_S, TimeUnit.SECONDS);
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
