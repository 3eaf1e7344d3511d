package org.dragonflygw.edge.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;
import java.util.List;

/**
 * Decodes responses, of which the codec of the library takes some for valid that are broken. Here, a response with neither
 * a length nor chunks is complete only if its connection has ended in order, and a field whose name is not directly followed
 * by a colon is malformed, in any head or trailer.
 */
public class StrictResponseDecoder extends HttpResponseDecoder {
    private final ResponseChannel channel;

    /** Creates the decoder of one connection. */
    public StrictResponseDecoder(ResponseChannel channel, HttpDecoderConfig config) {
        super(config);
        this.channel = channel;
    }

    /** The library drops what stands between the first blank or tab of a name and its colon. */
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        if (line[start + length] != ':') {
            throw new IllegalArgumentException("blank in the name of a field");
        }
        return super.splitHeaderName(line, start, length);
    }

    /** A response that has not ended when its connection was lost stays without an end. */
    @Override
    protected void decodeLast(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
        if (channel.isEndReceived()) {
            super.decodeLast(ctx, in, out);
        }
    }
}
