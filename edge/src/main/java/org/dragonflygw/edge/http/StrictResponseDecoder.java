package org.dragonflygw.edge.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.util.List;

/**
 * Decodes responses, of which the codec of the library takes some for valid that are broken. Here, a response with neither
 * a length nor chunks is complete only if its connection has ended in order.
 */
public class StrictResponseDecoder extends HttpResponseDecoder {
    private final ResponseChannel channel;

    /** Creates the decoder of one connection. */
    public StrictResponseDecoder(ResponseChannel channel, HttpDecoderConfig config) {
        super(config);
        this.channel = channel;
    }

    /** A response that has not ended when its connection was lost stays without an end. */
    @Override
    protected void decodeLast(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
        if (channel.isEndReceived()) {
            super.decodeLast(ctx, in, out);
        }
    }
}
