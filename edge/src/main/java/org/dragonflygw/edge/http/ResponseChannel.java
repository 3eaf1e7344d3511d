package org.dragonflygw.edge.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.socket.nio.NioSocketChannel;

/**
 * A connection on which responses are received. It tells whether the other side has ended it in order: a connection also
 * ends by a reset, by a failed write, and when this process closes it. Used by the event loop only.
 */
public final class ResponseChannel extends NioSocketChannel {
    private boolean endReceived;

    /** Returns whether all bytes that the other side has sent were read, and then the end of its side. */
    boolean isEndReceived() {
        return endReceived;
    }

    @Override
    protected int doReadBytes(ByteBuf target) throws Exception {
        int count = super.doReadBytes(target);
        if (count < 0) {
            endReceived = true;
        }
        return count;
    }
}
