package org.dragonflygw.edge.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Decodes responses, of which the codec of the library takes some for valid that are broken. Here, bytes that are not a
 * status line of HTTP/1.0 or HTTP/1.1 with a status from 100 to 599 are malformed, and a response with neither a length nor
 * chunks is complete only if its connection has ended in order. A field whose name is not directly followed by
 * a colon is malformed, in any head or trailer, and so is a head with a line that continues the one before it.
 */
public class StrictResponseDecoder extends HttpResponseDecoder {
    private static final Pattern VERSION = Pattern.compile("HTTP/1\\.[01]");
    private static final Pattern STATUS = Pattern.compile("[1-5][0-9]{2}");

    private final ResponseChannel channel;
    private final FoldedLines foldedLines = new FoldedLines();
    private boolean bodiless;
    private boolean insideMessage;
    private boolean insideBody;

    /** Creates the decoder of one connection. */
    public StrictResponseDecoder(ResponseChannel channel, HttpDecoderConfig config) {
        super(config);
        this.channel = channel;
    }

    /** Called when a request was sent; the response to a HEAD request has no body, whatever length it declares. */
    public final void onRequest(String method) {
        bodiless = HttpMethod.HEAD.name().equals(method);
    }

    /** Whether bytes were received since the end of the last response. */
    public final boolean isInsideMessage() {
        return insideMessage;
    }

    /** Whether bytes were received after what was decoded last. */
    public final boolean hasUndecodedBytes() {
        return actualReadableBytes() > 0;
    }

    /** Returns why a decoded head is malformed; empty if it is valid. */
    protected Optional<String> problemOf(HttpResponse head) {
        return foldedLines.found() ? Optional.of("a line that begins with a blank") : Optional.empty();
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
        int from = in.readerIndex();
        super.decode(ctx, in, out);
        if (!insideBody) {
            foldedLines.check(in, from, in.readerIndex());
        }
        out.forEach(this::onDecoded);
        insideMessage = out.isEmpty() || !(out.get(out.size() - 1) instanceof LastHttpContent);
    }

    private void onDecoded(Object message) {
        if (message instanceof HttpResponse response) {
            problemOf(response)
                    .ifPresent(p -> response.setDecoderResult(DecoderResult.failure(new IllegalArgumentException(p))));
            insideBody = true;
        }
        if (message instanceof LastHttpContent) {
            foldedLines.reset();
            insideBody = false;
        }
    }

    /** The library takes almost any three words for a status line. */
    @Override
    protected HttpMessage createMessage(String[] statusLine) {
        if (!VERSION.matcher(statusLine[0]).matches()
                || !STATUS.matcher(statusLine[1]).matches()) {
            throw new IllegalArgumentException("invalid status line");
        }
        return super.createMessage(statusLine);
    }

    /** The library drops what stands between the first blank or tab of a name and its colon. */
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        if (line[start + length] != ':') {
            throw new IllegalArgumentException("blank in the name of a field");
        }
        return super.splitHeaderName(line, start, length);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return bodiless || super.isContentAlwaysEmpty(message);
    }

    /** A response that has not ended when its connection was lost stays without an end. */
    @Override
    protected void decodeLast(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
        if (channel.isEndReceived()) {
            super.decodeLast(ctx, in, out);
        }
    }
}
