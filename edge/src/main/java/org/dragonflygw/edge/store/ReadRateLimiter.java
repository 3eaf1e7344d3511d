package org.dragonflygw.edge.store;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;

/**
 * Reads a connection no faster than a share of the host's link, so that events of callers' streams do not wait behind a
 * large answer of the store. The sender stops when what it sent is not read.
 */
@SuppressWarnings("FutureReturnValueIgnored") // The task ends with the connection.
final class ReadRateLimiter extends ChannelInboundHandlerAdapter {
    /** Share of the link that one connection may take. */
    private static final double MAX_LINK_FRACTION = 0.6;

    /** Shorter pauses are left out, in milliseconds: a wake-up would cost more than it saves. */
    private static final long MIN_PAUSE_MS = 5;

    private final DoubleSupplier linkBytesPerMs;

    /**
     * Makes a handler for one connection.
     *
     * @param linkBytesPerMs bandwidth of the link, 0 if it is not known; then reads are not paced
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
