package org.dragonflygw.edge.store;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;

/**
 * Limits the read rate of a connection to a fraction of the host's link bandwidth, so that a large response of the
 * store does not delay the events of callers' streams. While reading is paused, TCP flow control stops the sender.
 */
@SuppressWarnings("FutureReturnValueIgnored") // The task ends with the connection.
final class ReadRateLimiter extends ChannelInboundHandlerAdapter {
    /** Fraction of the link bandwidth that one connection may use. */
    private static final double MAX_LINK_FRACTION = 0.6;

    /** Shorter pauses are skipped, in milliseconds: the wake-up would cost more than the pause saves. */
    private static final long MIN_PAUSE_MS = 5;

    private final DoubleSupplier linkBytesPerMs;

    /**
     * Creates the handler of one connection.
     *
     * @param linkBytesPerMs bandwidth of the link in bytes per millisecond, 0 if unknown; then reads are not limited
     */
    ReadRateLimiter(DoubleSupplier linkBytesPerMs) {
        this.linkBytesPerMs = linkBytesPerMs;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        long pauseMs = pauseMs(((ByteBuf) message).readableBytes());
        if (pauseMs >= MIN_PAUSE_MS) {
            ctx.channel().config().setAutoRead(false);
            ctx.executor().schedule(() -> ctx.channel().config().setAutoRead(true), pauseMs, TimeUnit.MILLISECONDS);
        }
        ctx.fireChannelRead(message);
    }

    private long pauseMs(int bytes) {
        double rate = linkBytesPerMs.getAsDouble() * MAX_LINK_FRACTION;
        return rate > 0 ? (long) (bytes / rate) : 0;
    }
}
