package org.dragonflygw.edge.store;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class ReadRateLimiterTest {
    private static final double LINK_BYTES_PER_MS = 1_250;

    private static EmbeddedChannel channel(double linkBytesPerMs) {
        EmbeddedChannel channel = new EmbeddedChannel(new ReadRateLimiter(() -> linkBytesPerMs));
        channel.freezeTime();
        return channel;
    }

    /** Pattern: a large configuration is read while streams run on a narrow link. */
    @Test
    void largeReadPausesReadingForItsTransferTimeOnTheLink() {
        EmbeddedChannel channel = channel(LINK_BYTES_PER_MS);
        channel.writeInbound(Unpooled.buffer().writeZero(15_000));
        assertThat(channel.config().isAutoRead()).isFalse();
        channel.advanceTimeBy(19, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
        assertThat(channel.config().isAutoRead()).isFalse();
        channel.advanceTimeBy(1, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
        assertThat(channel.config().isAutoRead()).isTrue();
        channel.finishAndReleaseAll();
    }

    @Test
    void smallReadsAndLinksOfUnknownBandwidthAreNotPaused() {
        EmbeddedChannel narrow = channel(LINK_BYTES_PER_MS);
        narrow.writeInbound(Unpooled.buffer().writeZero(1_000));
        assertThat(narrow.config().isAutoRead()).isTrue();
        EmbeddedChannel unknown = channel(0);
        unknown.writeInbound(Unpooled.buffer().writeZero(15_000));
        assertThat(unknown.config().isAutoRead()).isTrue();
        narrow.finishAndReleaseAll();
        unknown.finishAndReleaseAll();
    }
}
