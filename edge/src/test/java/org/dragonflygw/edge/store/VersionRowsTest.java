package org.dragonflygw.edge.store;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.dragonflygw.core.lease.MonotonicClock;
import org.dragonflygw.core.log.NoOpEventLog;
import org.dragonflygw.core.resume.SoftwareVersions;
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
import org.dragonflygw.wire.codec.VersionRowCodec;
import org.junit.jupiter.api.Test;

final class VersionRowsTest {
    private static final int MAX_POLLS = 500;
    private static final long POLL_MS = 20;

    /** Guards against one unexpected error about a row after which versions are neither read nor written. */
    @Test
    void areReadAgainAfterAnUnexpectedError() throws Exception {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try (LoopbackPlatform platform = new LoopbackPlatform()) {
            byte[] row = new VersionRowCodec().encode(Set.of("v1"));
            platform.store().put(StoreApiCodec.VERSION_TABLE, "service", row);
            HostAddress store = new HostAddress("127.0.0.1", platform.port());
            HostIdentity identity = new HostIdentity("h", "127.0.0.1", "z", store, store, 1);
            HostBounds bounds = new HostBounds(1, 1, 1, 1, new RetryBounds(1, 1, 1), 1, 1, 0, false);
            SettingsHolder settings = new SettingsHolder(new HostSettings(identity, 0, store, bounds));
            AtomicInteger calls = new AtomicInteger();
            MonotonicClock failingAtTheFirstRow = () -> {
                if (calls.getAndIncrement() == 1) {
                    throw new IllegalStateException("first row");
                }
                return System.nanoTime();
            };
            SoftwareVersions versions = new SoftwareVersions(() -> 0, failingAtTheFirstRow);
            StoreClient client = new StoreClient(group, settings, new EdgeMetrics(new MetricRegistry()));
            new VersionRows(
                            versions,
                            () -> false,
                            client,
                            new StoreApiCodec(new JsonTreeReader()),
                            group.next(),
                            new NoOpEventLog())
                    .start();
            for (int i = 0; i < MAX_POLLS && calls.get() < 3; i++) {
                Thread.sleep(POLL_MS);
            }
            assertThat(calls.get()).isAtLeast(3);
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        }
    }
}
