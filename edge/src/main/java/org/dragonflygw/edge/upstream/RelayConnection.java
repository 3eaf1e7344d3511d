package org.dragonflygw.edge.upstream;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.dragonflygw.core.exchange.Attempt;
import org.dragonflygw.core.exchange.HeaderField;
import org.dragonflygw.core.exchange.ResponseHead;
import org.dragonflygw.edge.http.StrictResponseDecoder;
import org.dragonflygw.platform.adapter.EndpointHeaders;

/** A connection to another host for one caller's request. Used by the event loop only. */
@SuppressWarnings("FutureReturnValueIgnored") // A failed write or close is reported as the end of the connection.
final class RelayConnection extends ChannelInboundHandlerAdapter implements Attempt {
    private final RelayRequest request;
    private final EndpointHeaders headers;
    private final RelayListener listener;

    private ChannelHandlerContext context;
    private boolean skippingResponse;
    private boolean headReceived;
    private boolean ended;

    RelayConnection(RelayRequest request, EndpointHeaders headers, RelayListener listener) {
        this.request = request;
        this.headers = headers;
        this.listener = listener;
        request.body().retain();
    }

    /** Called when no connection could be opened. */
    void failToConnect() {
        request.body().release();
        if (!ended) {
            ended = true;
            listener.onRelayFailed(false);
        }
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
        if (ended) {
            request.body().release();
            ctx.close();
            return;
        }
        DefaultFullHttpRequest message = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, HttpMethod.valueOf(request.method()), request.target(), request.body());
        request.header().forEach(f -> message.headers().add(f.name(), f.value()));
        message.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        if (request.body().isReadable() || !HttpMethod.GET.name().equals(request.method())) {
            message.headers()
                    .setInt(HttpHeaderNames.CONTENT_LENGTH, request.body().readableBytes());
        }
        ctx.pipeline().get(StrictResponseDecoder.class).onRequest(request.method());
        ctx.channel().writeAndFlush(message);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            if (!ended) {
                onMessage((HttpObject) message);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void onMessage(HttpObject message) {
        if (message.decoderResult().isFailure()) {
            fail();
            return;
        }
        if (message instanceof HttpResponse response) {
            onResponse(response);
        }
        if (message instanceof HttpContent content && !ended) {
            onContent(content);
        }
    }

    private void onResponse(HttpResponse response) {
        skippingResponse = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        if (skippingResponse) {
            return;
        }
        headReceived = true;
        String reason = response.headers().get(RelayClient.REJECT_REASON, "");
        response.headers().remove(RelayClient.REJECT_REASON);
        List<HeaderField> fields = new ArrayList<>();
        for (Map.Entry<String, String> e : response.headers()) {
            fields.add(new HeaderField(e.getKey(), e.getValue()));
        }
        ResponseHead head = headers.decode(response.status().code(), response.headers()::get, fields);
        listener.onRelayedHead(head, reason);
    }

    private void onContent(HttpContent content) {
        boolean last = content instanceof LastHttpContent;
        if (skippingResponse || !headReceived) {
            return;
        }
        if (content.content().isReadable()) {
            listener.onRelayedBody(ByteBufUtil.getBytes(content.content()));
        }
        if (last && !ended) {
            ended = true;
            context.close();
            listener.onRelayComplete();
        }
    }

    private void fail() {
        if (ended) {
            return;
        }
        ended = true;
        context.close();
        listener.onRelayFailed(true);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        fail();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        fail();
    }

    @Override
    public boolean cancel() {
        ended = true;
        if (context != null) {
            context.close();
        }
        return context != null;
    }

    @Override
    public void setAutoRead(boolean enabled) {
        if (!ended && context != null) {
            context.channel().config().setAutoRead(enabled);
        }
    }
}
