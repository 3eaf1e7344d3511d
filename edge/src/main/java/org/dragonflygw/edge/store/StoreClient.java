package org.dragonflygw.edge.store;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.dragonflygw.core.settings.HostAddress;
import org.dragonflygw.core.settings.SettingsHolder;
import org.dragonflygw.edge.http.ResponseChannel;
import org.dragonflygw.edge.http.StrictResponseDecoder;
import org.dragonflygw.edge.ops.EdgeMetrics;
import org.dragonflygw.platform.adapter.StoreApiCodec;

/**
 * HTTP client for the platform's store with one connection and one call at a time. A call that times out closes the
 * connection, since a connection on which a response was lost delivers no further data. Used by the event loop only.
 */
@SuppressWarnings("FutureReturnValueIgnored") // A failed write or close shows as channelInactive.
final class StoreClient {
    private static final int CONNECT_TIMEOUT_MS = 500;

    /** Initial size of one read in bytes: fits most responses, and lets {@link ReadRateLimiter} pause large ones. */
    private static final int MIN_READ_BYTES = 2_048;

    private static final int MAX_READ_BYTES = 16_384;

    private static final int MAX_RESPONSE_BYTES = 8 * 1024 * 1024;

    private static final int MAX_INTERIM_RESPONSES = 100;

    private static final byte[] NO_BYTES = {};

    private final EventLoopGroup group;
    private final SettingsHolder settings;
    private final EdgeMetrics metrics;

    private Channel channel;
    private HostAddress connectedTo;
    private Consumer<StoreResponse> pendingCallback;
    private ScheduledFuture<?> timeout;
    private long sentNanos;
    private long lastProgressNanos;
    private int interimResponses;

    StoreClient(EventLoopGroup group, SettingsHolder settings, EdgeMetrics metrics) {
        this.group = group;
        this.settings = settings;
        this.metrics = metrics;
    }

    /** Sends a GET request; the callback is called once, with the response or the failure. */
    void get(String path, long timeoutMs, Consumer<StoreResponse> callback) {
        send(HttpMethod.GET, path, NO_BYTES, timeoutMs, callback);
    }

    /**
     * Sends a POST request; the callback is called once, with the response or the failure. After a failure it is
     * unknown whether the change was made.
     */
    void post(String path, byte[] body, long timeoutMs, Consumer<StoreResponse> callback) {
        send(HttpMethod.POST, path, body, timeoutMs, callback);
    }

    private void send(HttpMethod method, String path, byte[] body, long timeoutMs, Consumer<StoreResponse> callback) {
        pendingCallback = callback;
        sentNanos = System.nanoTime();
        metrics.onStoreCall();
        HostAddress address = settings.store();
        if (!address.equals(connectedTo)) {
            close();
            connectedTo = address;
        }
        if (channel != null && channel.isActive()) {
            write(method, path, body, timeoutMs);
            return;
        }
        bootstrap().connect(address.ip(), address.port()).addListener((ChannelFuture f) -> {
            if (!f.isSuccess()) {
                completeCall(StoreResponse.failed("no connection", sentNanos));
                return;
            }
            channel = f.channel();
            sentNanos = System.nanoTime();
            write(method, path, body, timeoutMs);
        });
    }

    private Bootstrap bootstrap() {
        return new Bootstrap()
                .group(group)
                .channel(ResponseChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, MIN_READ_BYTES, MAX_READ_BYTES))
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(new ChannelInitializer<ResponseChannel>() {
                    @Override
                    protected void initChannel(ResponseChannel c) {
                        c.pipeline()
                                .addLast(
                                        new ReadRateLimiter(settings::linkBytesPerMs),
                                        new ProgressTracker(),
                                        new StrictResponseDecoder(c, new HttpDecoderConfig()),
                                        new HttpRequestEncoder(),
                                        new HttpObjectAggregator(MAX_RESPONSE_BYTES),
                                        new ResponseHandler());
                    }
                });
    }

    private void write(HttpMethod method, String path, byte[] body, long timeoutMs) {
        DefaultFullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, path, Unpooled.wrappedBuffer(body));
        request.headers().set(HttpHeaderNames.HOST, connectedTo.toString());
        if (body.length > 0) {
            request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
            request.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
        }
        interimResponses = 0;
        channel.writeAndFlush(request);
        lastProgressNanos = System.nanoTime();
        scheduleTimeout(timeoutMs, TimeUnit.MILLISECONDS.toNanos(timeoutMs));
    }

    private void scheduleTimeout(long timeoutMs, long delayNanos) {
        timeout = channel.eventLoop().schedule(() -> checkTimeout(timeoutMs), delayNanos, TimeUnit.NANOSECONDS);
    }

    /** Fails the call if no data has arrived for the timeout; a response may take longer while parts of it arrive. */
    private void checkTimeout(long timeoutMs) {
        long remainingNanos = lastProgressNanos + TimeUnit.MILLISECONDS.toNanos(timeoutMs) - System.nanoTime();
        if (remainingNanos > 0) {
            scheduleTimeout(timeoutMs, remainingNanos);
            return;
        }
        close();
        completeCall(StoreResponse.failed("timeout", sentNanos));
    }

    private void close() {
        if (channel != null) {
            Channel old = channel;
            channel = null;
            old.close();
        }
    }

    private void completeCall(StoreResponse response) {
        if (timeout != null) {
            timeout.cancel(false);
        }
        if (!response.isOk()) {
            metrics.onStoreCallFailed();
        }
        Consumer<StoreResponse> callback = pendingCallback;
        pendingCallback = null;
        if (callback != null) {
            callback.accept(response);
        }
    }

    /** Notes that a response goes on. Bytes while no call is open would become a part of the next response. */
    private final class ProgressTracker extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            if (ctx.channel() == channel && pendingCallback == null) {
                ReferenceCountUtil.release(message);
                close();
                return;
            }
            if (ctx.channel() == channel) {
                lastProgressNanos = System.nanoTime();
            }
            ctx.fireChannelRead(message);
        }
    }

    private final class ResponseHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            if (ctx.channel() != channel) {
                return;
            }
            if (response.decoderResult().isFailure()) {
                fail("malformed response");
                return;
            }
            if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
                onInterim(response.status());
                return;
            }
            byte[] body = ByteBufUtil.getBytes(response.content());
            boolean followedByBytes =
                    ctx.pipeline().get(StrictResponseDecoder.class).hasUndecodedBytes();
            if (!HttpUtil.isKeepAlive(response) || followedByBytes) {
                close();
            }
            long era = StoreApiCodec.era(response.headers()::get);
            completeCall(new StoreResponse(response.status().code(), era, body, sentNanos, Optional.empty()));
        }

        /** The response to the call follows, unless the connection is to go on in another protocol. */
        private void onInterim(HttpResponseStatus status) {
            interimResponses++;
            if (interimResponses > MAX_INTERIM_RESPONSES || status.equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
                fail("status " + status.code());
            }
        }

        private void fail(String reason) {
            close();
            completeCall(StoreResponse.failed(reason, sentNanos));
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (ctx.channel() == channel) {
                channel = null;
                completeCall(StoreResponse.failed("connection lost", sentNanos));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close(); // channelInactive then fails the call.
        }
    }
}
