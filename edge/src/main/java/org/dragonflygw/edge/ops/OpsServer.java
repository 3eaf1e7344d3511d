package org.dragonflygw.edge.ops;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.dragonflygw.core.settings.HostAddress;
import org.dragonflygw.edge.memory.HeaderAccount;
import org.dragonflygw.edge.memory.HeaderBudget;

/**
 * HTTP server for the balancer's readiness check and for the metrics. Each path that does not start with
 * {@code /metrics} is a readiness check, with status 200 when ready and 503 when not.
 */
@SuppressWarnings("FutureReturnValueIgnored") // A failed write or close is reported as the end of the connection.
public final class OpsServer {
    private static final int MAX_BODY_BYTES = 4_096;
    private static final String METRICS_PATH = "/metrics";

    private final EventLoopGroup group;
    private final BooleanSupplier ready;
    private final Supplier<String> metrics;
    private final HeaderBudget headerBudget;

    /**
     * Creates a server; {@link #listen} starts it.
     *
     * @param ready whether this host is ready
     * @param metrics text of all metrics
     * @param headerBudget memory for the heads of all connections
     */
    public OpsServer(EventLoopGroup group, BooleanSupplier ready, Supplier<String> metrics, HeaderBudget headerBudget) {
        this.group = group;
        this.ready = ready;
        this.metrics = metrics;
        this.headerBudget = headerBudget;
    }

    /** Listens on an address; may be called once for each of several addresses. */
    public void listen(HostAddress address) {
        new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        HeaderAccount account = headerBudget.open("operations", channel);
                        channel.pipeline()
                                .addLast(
                                        new HttpServerCodec(account.decoderConfig()),
                                        new HttpObjectAggregator(MAX_BODY_BYTES),
                                        new Handler(account));
                    }
                })
                .bind(address.ip(), address.port())
                .syncUninterruptibly();
    }

    private final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final HeaderAccount account;

        Handler(HeaderAccount account) {
            this.account = account;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            account.releaseMessages();
            if (request.decoderResult().isFailure()) {
                ctx.close();
                return;
            }
            boolean metricsRequested = request.uri().startsWith(METRICS_PATH);
            HttpResponseStatus status = metricsRequested || ready.getAsBoolean()
                    ? HttpResponseStatus.OK
                    : HttpResponseStatus.SERVICE_UNAVAILABLE;
            ByteBuf body =
                    ByteBufUtil.writeUtf8(UnpooledByteBufAllocator.DEFAULT, metricsRequested ? metrics.get() : "{}");
            DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, metricsRequested ? "text/plain" : "application/json");
            response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
            var written = ctx.writeAndFlush(response);
            if (!HttpUtil.isKeepAlive(request)) {
                written.addListener(ChannelFutureListener.CLOSE);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close(); // The balancer or the metrics collector sends its request again.
        }
    }
}
