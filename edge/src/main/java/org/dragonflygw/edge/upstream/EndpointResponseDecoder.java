package org.dragonflygw.edge.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import org.dragonflygw.edge.http.ResponseChannel;
import org.dragonflygw.edge.http.StrictResponseDecoder;

/**
 * Decodes the responses of an endpoint. The codec of the library takes almost any three words for a status line; here,
 * bytes that are not a status line of HTTP/1.0 or HTTP/1.1 with a status from 100 to 599 are malformed. So is a head that
 * contains a second status line.
 */
final class EndpointResponseDecoder extends StrictResponseDecoder {
    private static final Pattern VERSION = Pattern.compile("HTTP/1\\.[01]");
    private static final Pattern STATUS = Pattern.compile("[1-5][0-9]{2}");

    /** Beginning of a status line; its status may be cut off. */
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] ");

    private boolean bodiless;
    private boolean insideMessage;

    EndpointResponseDecoder(ResponseChannel channel, HttpDecoderConfig config) {
        super(channel, config);
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
        out.forEach(EndpointResponseDecoder::rejectJoinedHead);
        insideMessage = out.isEmpty() || !(out.get(out.size() - 1) instanceof LastHttpContent);
    }

    @Override
    protected HttpMessage createMessage(String[] statusLine) {
        if (!VERSION.matcher(statusLine[0]).matches()
                || !STATUS.matcher(statusLine[1]).matches()) {
            throw new IllegalArgumentException("invalid status line");
        }
        if (STATUS_LINE.matcher(statusLine[2]).find()) {
            throw new IllegalArgumentException("status line in a reason phrase");
        }
        return super.createMessage(statusLine);
    }

    /**
     * Marks a head as malformed if a field contains a status line: it is the beginning of one response, which broke off, and
     * the rest of another.
     */
    private static void rejectJoinedHead(Object message) {
        if (!(message instanceof HttpResponse response)) {
            return;
        }
        for (Map.Entry<String, String> field : response.headers()) {
            if (STATUS_LINE.matcher(field.getValue()).find()) {
                response.setDecoderResult(DecoderResult.failure(
                        new IllegalArgumentException("status line in the field " + field.getKey())));
                return;
            }
        }
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return bodiless || super.isContentAlwaysEmpty(message);
    }
}
