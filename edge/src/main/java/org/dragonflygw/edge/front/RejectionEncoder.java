package org.dragonflygw.edge.front;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Locale;
import org.dragonflygw.core.exchange.Rejection;

/** Makes this host's own answers: a status, a stable code as JSON, and when to come back. */
final class RejectionEncoder {
    private static final double MS_PER_S = 1_000;

    private RejectionEncoder() {}

    static DefaultFullHttpResponse encode(Rejection rejection) {
        String json = "{\"error\":\"" + rejection.reason().name() + "\"}";
        ByteBuf body = ByteBufUtil.writeAscii(UnpooledByteBufAllocator.DEFAULT, json);
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(rejection.reason().status()),
                body);
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
        response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        if (rejection.retryAfterMs() > 0) {
            String seconds = String.format(Locale.ROOT, "%.3f", rejection.retryAfterMs() / MS_PER_S);
            response.headers().set(HttpHeaderNames.RETRY_AFTER, seconds);
        }
        return response;
    }
}
