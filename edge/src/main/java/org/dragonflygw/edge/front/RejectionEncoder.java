package org.dragonflygw.edge.front;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Locale;
import org.dragonflygw.core.exchange.Rejection;

/**
 * Encodes the error responses of this host: the HTTP status, the stable code of the reason as JSON, and for a positive
 * delay the Retry-After header in seconds with milliseconds as decimals.
 */
final class RejectionEncoder {
    private static final double MS_PER_S = 1_000;

    private RejectionEncoder() {}

    /**
     * Encodes a rejection.
     *
     * @param method method of the request; the response to a HEAD request has no body, whatever length it declares
     */
    static DefaultFullHttpResponse encode(Rejection rejection, String method) {
        String json = "{\"error\":\"" + rejection.reason().name() + "\"}";
        ByteBuf body = ByteBufUtil.writeAscii(UnpooledByteBufAllocator.DEFAULT, json);
        boolean bodiless = HttpMethod.HEAD.name().equals(method);
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(rejection.reason().status()),
                bodiless ? Unpooled.EMPTY_BUFFER : body);
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
        response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        if (bodiless) {
            body.release();
        }
        if (rejection.retryAfterMs() > 0) {
            String seconds = String.format(Locale.ROOT, "%.3f", rejection.retryAfterMs() / MS_PER_S);
            response.headers().set(HttpHeaderNames.RETRY_AFTER, seconds);
        }
        return response;
    }
}
