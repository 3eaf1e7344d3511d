package org.dragonflygw.edge.front;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import org.dragonflygw.core.catalog.CallerLimits;
import org.dragonflygw.core.catalog.Catalog;
import org.dragonflygw.core.settings.HostAddress;
import org.dragonflygw.edge.memory.HeaderAccount;

/** Listens for connections of callers and gives each a {@link FrontHandler}. */
public final class FrontServer {
    private static final int BACKLOG = 1_024;

    /**
     * Bytes waiting to be written to a slow caller: above the high mark its endpoint is no longer read, below the low
     * mark it is read again.
     */
    private static final WriteBufferWaterMark WATER_MARK = new WriteBufferWaterMark(32_768, 65_536);

    private final EventLoopGroup group;
    private final FrontContext front;

    /** Creates a server; {@link #listen} starts it. */
    public FrontServer(EventLoopGroup group, FrontContext front) {
        this.group = group;
        this.front = front;
    }

    /** Binds the address and returns the listening channel. Closing the channel stops accepting connections. */
    public Channel listen(HostAddress address) {
        return new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        int maxHeaderBytes = front.catalogs()
                                .current()
                                .map(Catalog::limits)
                                .orElse(CallerLimits.DEFAULT)
                                .maxHeaderBytes();
                        HeaderAccount account = front.headerBudget().open("caller", channel);
                        channel.pipeline()
                                .addLast(
                                        new StrictRequestDecoder(maxHeaderBytes, account),
                                        new HttpResponseEncoder(),
                                        new FrontHandler(front, account));
                    }
                })
                .bind(address.ip(), address.port())
                .syncUninterruptibly()
                .channel();
    }
}
