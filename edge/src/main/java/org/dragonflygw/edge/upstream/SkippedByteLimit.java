package org.dragonflygw.edge.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.util.ReferenceCountUtil;

/**
 * Bounds the bytes that an endpoint may send between two parts of a response that are forwarded. The decoder bounds a head
 * and a line, but neither the number of interim heads nor responses to other requests. Beyond the limit the channel gets
 * a {@link TooLongFrameException}, and the bytes are dropped.
 */
final class SkippedByteLimit extends ChannelInboundHandlerAdapter {
    private final long maxBytes;
    private long bytes;

    /** Creates a limit of {@code maxBytes} for each part. */
    SkippedByteLimit(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Starts to count anew: a request was sent, or a part of its response was used. */
    void reset() {
        bytes = 0;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (message instanceof ByteBuf received) {
            bytes += received.readableBytes();
        }
        if (bytes > maxBytes) {
            ReferenceCountUtil.release(message);
            ctx.fireExceptionCaught(new TooLongFrameException("more than " + maxBytes + " bytes without a response"));
            return;
        }
        ctx.fireChannelRead(message);
    }
}
