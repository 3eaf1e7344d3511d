package org.dragonflygw.edge.upstream;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequestEncoder;
import org.dragonflygw.core.exchange.Attempt;
import org.dragonflygw.core.settings.HostAddress;
import org.dragonflygw.edge.http.ResponseChannel;
import org.dragonflygw.edge.http.StrictResponseDecoder;
import org.dragonflygw.edge.memory.HeaderAccount;
import org.dragonflygw.edge.memory.HeaderBudget;
import org.dragonflygw.platform.adapter.EndpointHeaders;

/**
 * Passes callers' requests to other hosts, each on a connection of its own: one that is kept could be closed by the other
 * host while a request is under way, and whether that request ran would be unknown. Used by the event loop only.
 */
public final class RelayClient {
    /** Response header with the name of the reason for which the other host itself rejects a request. */
    public static final String REJECT_REASON = "Relay-Reject-Reason";

    /** Timeout for opening a connection to another host, in milliseconds. */
    private static final int CONNECT_TIMEOUT_MS = 300;

    private static final int MAX_LINE_BYTES = 4_096;
    private static final int MAX_HEADER_BYTES = 40_960;
    private static final int MAX_CHUNK_BYTES = 16_384;

    private final Bootstrap bootstrap;
    private final EndpointHeaders headers;

    /**
     * Creates a client without connections.
     *
     * @param headerBudget memory for the heads of all connections
     */
    public RelayClient(EventLoopGroup group, EndpointHeaders headers, HeaderBudget headerBudget) {
        this.headers = headers;
        this.bootstrap = new Bootstrap()
                .group(group)
                .channel(ResponseChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(new ChannelInitializer<ResponseChannel>() {
                    @Override
                    protected void initChannel(ResponseChannel channel) {
                        channel.pipeline()
                                .addLast(decoder(channel, headerBudget))
                                .addLast(new HttpRequestEncoder());
                    }
                });
    }

    private static StrictResponseDecoder decoder(ResponseChannel channel, HeaderBudget headerBudget) {
        HeaderAccount account = headerBudget.open("host", channel);
        HttpDecoderConfig config = account.decoderConfig()
                .setMaxInitialLineLength(MAX_LINE_BYTES)
                .setMaxHeaderSize(MAX_HEADER_BYTES)
                .setMaxChunkSize(MAX_CHUNK_BYTES);
        return new StrictResponseDecoder(channel, config);
    }

    /** Sends a request; the listener receives the outcome later, on the event loop. */
    public Attempt send(RelayRequest request, RelayListener listener) {
        RelayConnection connection = new RelayConnection(request, headers, listener);
        HostAddress host = request.host();
        bootstrap
                .connect(host.ip(), host.port())
                .addListener((ChannelFuture f) -> onConnected(f.isSuccess() ? f.channel() : null, connection));
        return connection;
    }

    private static void onConnected(Channel channel, RelayConnection connection) {
        if (channel == null) {
            connection.failToConnect();
            return;
        }
        channel.pipeline().addLast(connection);
    }
}
