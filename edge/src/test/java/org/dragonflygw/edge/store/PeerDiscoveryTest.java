package org.dragonflygw.edge.store;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.dragonflygw.core.dispatch.EndpointLoads;
import org.dragonflygw.core.lease.MonotonicClock;
import org.dragonflygw.core.log.NoOpEventLog;
import org.dragonflygw.core.peers.PeerTable;
import org.dragonflygw.core.settings.HostAddress;
import org.dragonflygw.core.settings.HostBounds;
import org.dragonflygw.core.settings.HostIdentity;
import org.dragonflygw.core.settings.HostSettings;
import org.dragonflygw.core.settings.RetryBounds;
import org.dragonflygw.core.settings.SettingsHolder;
import org.dragonflygw.edge.ops.EdgeMetrics;
import org.dragonflygw.platform.adapter.JsonTreeReader;
import org.dragonflygw.platform.adapter.StoreApiCodec;
import org.dragonflygw.standins.loopback.LoopbackPlatform;
import org.junit.jupiter.api.Test;

final class PeerDiscoveryTest {
    private static final int MAX_POLLS = 500;
    private static final long POLL_MS = 20;

    /** Guards against one unexpected error about a row after which the list of hosts is never read again. */
    @Test
    void readsAgainAfterAnUnexpectedError() throws Exception {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try (LoopbackPlatform platform = new LoopbackPlatform()) {
            platform.store().put(StoreApiCodec.HOST_TABLE, "other", "10.0.0.7:7000".getBytes(StandardCharsets.UTF_8));
            HostAddress store = new HostAddress("127.0.0.1", platform.port());
            HostIdentity identity = new HostIdentity("h", "127.0.0.1", "z", store, store, 1);
            HostBounds bounds = new HostBounds(1, 1, 1, 1, new RetryBounds(1, 1, 1), 1, 1, 0, false);
            SettingsHolder settings = new SettingsHolder(new HostSettings(identity, 0, store, bounds));
            AtomicInteger calls = new AtomicInteger();
            MonotonicClock failingOnce = () -> {
                if (calls.getAndIncrement() == 0) {
                    throw new IllegalStateException("first row");
                }
                return System.nanoTime();
            };
            PeerTable peers = new PeerTable("h", new EndpointLoads(), new NoOpEventLog(), failingOnce);
            StoreClient client = new StoreClient(group, settings, new EdgeMetrics(new MetricRegistry()));
            new PeerDiscovery(client, new StoreApiCodec(new JsonTreeReader()), group.next(), peers, new NoOpEventLog())
                    .register("h", store);
            boolean known = false;
            for (int i = 0; i < MAX_POLLS && !known; i++) {
                Thread.sleep(POLL_MS);
                known = group.next()
                        .submit(() -> peers.hostNames().contains("other"))
                        .get(10, TimeUnit.SECONDS);
            }
            assertThat(calls.get()).isAtLeast(2);
            assertThat(known).isTrue();
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        }
    }
}
