package org.dragonflygw.edge.front;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import org.dragonflygw.edge.memory.HeaderAccount;

/**
 * Decodes HTTP requests and rejects those whose body length is ambiguous, since another HTTP parser could split them
 * into different requests (request smuggling).
 */
final class StrictRequestDecoder extends HttpRequestDecoder {
    private static final int MAX_LINE_BYTES = 8_192;
    private static final int MAX_CHUNK_BYTES = 16_384;

    private final HeaderAccount account;

    /**
     * Creates a decoder of one connection.
     *
     * @param account what the connection holds
     */
    StrictRequestDecoder(int maxHeaderBytes, HeaderAccount account) {
        super(account.decoderConfig()
                .setMaxInitialLineLength(MAX_LINE_BYTES)
                .setMaxHeaderSize(maxHeaderBytes)
                .setMaxChunkSize(MAX_CHUNK_BYTES)
                .setAllowDuplicateContentLengths(false));
        this.account = account;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
        super.channelRead(ctx, message);
        account.buffered(actualReadableBytes());
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("the request has both Content-Length and Transfer-Encoding");
    }
}
