package org.dragonflygw.edge.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import java.util.function.LongConsumer;

/**
 * Closes a connection on which bytes arrive while no request is open. They belong to no request; in the decoder, the next
 * response would continue them.
 */
@SuppressWarnings("FutureReturnValueIgnored") // A failed close is reported as the end of the connection.
final class UnexpectedByteGuard extends ChannelInboundHandlerAdapter {
    private final LongConsumer listener;
    private boolean requestOpen;

    /**
     * Creates a guard of a connection without an open request.
     *
     * @param listener receives the number of unexpected bytes, before the connection is closed
     */
    UnexpectedByteGuard(LongConsumer listener) {
        this.listener = listener;
    }

    /** Called when a request is sent, and with false when the connection becomes idle. */
    void setRequestOpen(boolean open) {
        requestOpen = open;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (requestOpen) {
            ctx.fireChannelRead(message);
            return;
        }
        listener.accept(message instanceof ByteBuf bytes ? bytes.readableBytes() : 0);
        ReferenceCountUtil.release(message);
        ctx.close();
    }
}
