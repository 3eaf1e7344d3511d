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
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.dragonflygw.core.settings.HostAddress;
import org.dragonflygw.core.settings.SettingsHolder;
import org.dragonflygw.edge.ops.EdgeMetrics;

/**
 * One connection to the platform's store with one call at a time. A call that is not answered in its time closes the
 * connection, since a connection on which an answer was lost delivers nothing further. Used by the event loop only.
 */
@SuppressWarnings("FutureReturnValueIgnored") // Failed writes and closes show as the end of the connection.
final class StoreClient {
    private static final int CONNECT_TIMEOUT_MS = 500;
    /** Bytes that are read at once: enough for most answers, and little enough to pace large ones. */
    private static final int MIN_READ_BYTES = 2_048;

    private static final int MAX_READ_BYTES = 16_384;

    private static final int MAX_RESPONSE_BYTES = 8 * 1024 * 1024;

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

    StoreClient(EventLoopGroup group, SettingsHolder settings, EdgeMetrics metrics) {
        this.group = group;
        this.settings = settings;
        this.metrics = metrics;
    }

    /** Sends a read; the answer or the failure is told once. */
    void get(String path, long timeoutMs, Consumer<StoreResponse> answer) {
        send(HttpMethod.GET, path, NO_BYTES, timeoutMs, answer);
    }

    /** Sends a change; the answer or the failure is told once. Without an answer it may have been made. */
    void post(String path, byte[] body, long timeoutMs, Consumer<StoreResponse> answer) {
        send(HttpMethod.POST, path, body, timeoutMs, answer);
    }

    private void send(HttpMethod method, String path, byte[] body, long timeoutMs, Consumer<StoreResponse> answer) {
        pendingCallback = answer;
        sentNanos = System.nanoTime();
        metrics.onStoreCall();
        HostAddress to = settings.store();
        if (!to.equals(connectedTo)) {
            close();
            connectedTo = to;
        }
        if (channel != null && channel.isActive()) {
            write(method, path, body, timeoutMs);
            return;
        }
        bootstrap().connect(to.ip(), to.port()).addListener((ChannelFuture f) -> {
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
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, MIN_READ_BYTES, MAX_READ_BYTES))
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel c) {
                        c.pipeline()
                                .addLast(
                                        new ReadRateLimiter(settings::linkBytesPerMs),
                                        new ProgressTracker(),
                                        new HttpClientCodec(),
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
        channel.writeAndFlush(request);
        lastProgressNanos = System.nanoTime();
        scheduleTimeout(timeoutMs, TimeUnit.MILLISECONDS.toNanos(timeoutMs));
    }

    private void scheduleTimeout(long timeoutMs, long delayNanos) {
        timeout = channel.eventLoop().schedule(() -> checkTimeout(timeoutMs), delayNanos, TimeUnit.NANOSECONDS);
    }

    /** An answer may take longer than the timeout as long as parts of it arrive. */
    private void checkTimeout(long timeoutMs) {
        long leftNanos = lastProgressNanos + TimeUnit.MILLISECONDS.toNanos(timeoutMs) - System.nanoTime();
        if (leftNanos > 0) {
            scheduleTimeout(timeoutMs, leftNanos);
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

    private void completeCall(StoreResponse answer) {
        if (timeout != null) {
            timeout.cancel(false);
        }
        if (!answer.isOk()) {
            metrics.onStoreCallFailed();
        }
        Consumer<StoreResponse> told = pendingCallback;
        pendingCallback = null;
        if (told != null) {
            told.accept(answer);
        }
    }

    private final class ProgressTracker extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
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
            byte[] body = ByteBufUtil.getBytes(response.content());
            if (!HttpUtil.isKeepAlive(response) || response.decoderResult().isFailure()) {
                close();
            }
            completeCall(new StoreResponse(response.status().code(), body, sentNanos, Optional.empty()));
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
            ctx.close(); // The call ends by the connection's end.
        }
    }
}
