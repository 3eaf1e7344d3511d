package org.dragonflygw.edge.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;
import java.util.regex.Pattern;

/**
 * Decodes the responses of an endpoint. The codec of the library takes almost any three words for a status line; here,
 * bytes that are not a status line of HTTP/1.0 or HTTP/1.1 with a status from 100 to 599 are malformed.
 */
final class EndpointResponseDecoder extends HttpResponseDecoder {
    private static final Pattern VERSION = Pattern.compile("HTTP/1\\.[01]");
    private static final Pattern STATUS = Pattern.compile("[1-5][0-9]{2}");

    private boolean bodiless;
    private boolean insideMessage;

    EndpointResponseDecoder(HttpDecoderConfig config) {
        super(config);
    }

    /** Called when a request was sent; the response to a HEAD request has no body, whatever length it declares. */
    void onRequest(boolean head) {
        bodiless = head;
    }

    /** Whether bytes were received since the end of the last response. */
    boolean isInsideMessage() {
        return insideMessage;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
        super.decode(ctx, in, out);
        insideMessage = out.isEmpty() || !(out.get(out.size() - 1) instanceof LastHttpContent);
    }

    @Override
    protected HttpMessage createMessage(String[] statusLine) {
        if (!VERSION.matcher(statusLine[0]).matches()
                || !STATUS.matcher(statusLine[1]).matches()) {
            throw new IllegalArgumentException("invalid status line");
        }
        return super.createMessage(statusLine);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return bodiless || super.isContentAlwaysEmpty(message);
    }
}
