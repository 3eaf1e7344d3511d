package org.dragonflygw.edge.store;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.dragonflygw.core.log.NoOpEventLog;
import org.dragonflygw.core.settings.HostAddress;
import org.dragonflygw.core.settings.HostBounds;
import org.dragonflygw.core.settings.HostIdentity;
import org.dragonflygw.core.settings.HostSettings;
import org.dragonflygw.core.settings.RetryBounds;
import org.dragonflygw.core.settings.SettingsHolder;
import org.dragonflygw.core.storage.VersionedRow;
import org.dragonflygw.core.storenews.LongPollSchedule;
import org.dragonflygw.core.storenews.StoreEra;
import org.dragonflygw.edge.ops.EdgeMetrics;
import org.dragonflygw.platform.adapter.JsonTreeReader;
import org.dragonflygw.platform.adapter.StoreApiCodec;
import org.dragonflygw.standins.loopback.LoopbackPlatform;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Reads of a table from the fake store, with listeners that fail. */
final class TableFollowerTest {
    private static final int WAIT_S = 10;
    private static final String TABLE = "t";
    private static final byte[] NO_BYTES = {};

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final LoopbackPlatform platform = new LoopbackPlatform();
    private final BlockingQueue<String> listed = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> changed = new LinkedBlockingQueue<>();

    /** Key of the row that makes the listener fail. */
    private volatile String poison = "";

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        platform.close();
    }

    private void follow() {
        HostAddress store = new HostAddress("127.0.0.1", platform.port());
        HostIdentity identity = new HostIdentity("h", "127.0.0.1", "z", store, store, 1);
        HostBounds bounds = new HostBounds(1, 1, 1, 1, new RetryBounds(1, 1, 1), 1, 1, 0, false);
        SettingsHolder settings = new SettingsHolder(new HostSettings(identity, 0, store, bounds));
        StoreClient client = new StoreClient(group, settings, new EdgeMetrics(new MetricRegistry()));
        new TableFollower(
                        new TableFollowerSettings(TABLE, new LongPollSchedule(0, 100), 500, 50),
                        new StoreApiCodec(new JsonTreeReader()),
                        client,
                        group.next(),
                        new Listener(),
                        new StoreEra(new NoOpEventLog(), () -> {}),
                        new NoOpEventLog(),
                        () -> {})
                .start();
    }

    private void put(String key) {
        platform.store().put(TABLE, key, NO_BYTES);
    }

    private final class Listener implements TableListener {
        @Override
        public void onNewEra() {
            // The store is not restored in these tests.
        }

        @Override
        public void onListing(List<VersionedRow> rows, long version, long sentNanos) {
            rows.forEach(r -> accept(r, listed));
        }

        @Override
        public void onChanges(List<VersionedRow> rows, long sentNanos) {
            rows.forEach(r -> accept(r, changed));
        }

        private void accept(VersionedRow row, BlockingQueue<String> seen) {
            if (row.key().equals(poison)) {
                throw new IllegalStateException("row " + row.key());
            }
            seen.add(row.key());
        }

        @Override
        public void onReadFailure() {
            // The follower reads again.
        }
    }

    /** Guards against one unexpected error in a change after which the table is never read again. */
    @Test
    void goesOnAfterAChangeThatItsListenerCannotTake() throws Exception {
        put("a");
        follow();
        assertThat(listed.poll(WAIT_S, TimeUnit.SECONDS)).isEqualTo("a");
        poison = "b";
        put("b");
        Thread.sleep(300);
        poison = "";
        assertThat(listed.poll(WAIT_S, TimeUnit.SECONDS)).isEqualTo("a");
        assertThat(listed.poll(WAIT_S, TimeUnit.SECONDS)).isEqualTo("b");
        put("c");
        assertThat(changed.poll(WAIT_S, TimeUnit.SECONDS)).isEqualTo("c");
    }

    /** Guards against one unexpected error in the first read after which the table is never read again. */
    @Test
    void goesOnAfterAListingThatItsListenerCannotTake() throws Exception {
        poison = "a";
        put("a");
        follow();
        Thread.sleep(300);
        poison = "";
        assertThat(listed.poll(WAIT_S, TimeUnit.SECONDS)).isEqualTo("a");
    }
}
