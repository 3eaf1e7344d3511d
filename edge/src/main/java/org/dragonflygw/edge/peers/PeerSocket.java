package org.dragonflygw.edge.peers;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.util.List;
import org.dragonflygw.core.error.CodedException;
import org.dragonflygw.core.log.EventLog;
import org.dragonflygw.core.log.LogTopic;
import org.dragonflygw.core.settings.HostAddress;
import org.dragonflygw.wire.codec.PeerMessageCodec;

/** The UDP socket over which hosts exchange reports and other messages. Used by the event loop only. */
@SuppressWarnings("FutureReturnValueIgnored") // A lost datagram is like one that the network loses.
public final class PeerSocket {
    /** Maximum datagram size in bytes: the report of a host in a large fleet with several hundred endpoints. */
    static final int MAX_DATAGRAM_BYTES = 16_384;

    private final EventLoopGroup group;
    private final EventLog log;
    private Channel channel;

    public PeerSocket(EventLoopGroup group, EventLog log) {
        this.group = group;
        this.log = log;
    }

    /** Receives the content of datagrams; throws {@link CodedException} if it cannot be read. */
    @FunctionalInterface
    public interface Handler {
        void accept(byte[] content, InetSocketAddress sender);
    }

    /**
     * Binds to an address.
     *
     * @param reports receives reports
     * @param messages receives all other messages
     */
    public void listen(HostAddress address, Handler reports, Handler messages) {
        channel = new Bootstrap()
                .group(group)
                .channel(NioDatagramChannel.class)
                .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES))
                .handler(new Receiver(reports, messages))
                .bind(address.ip(), address.port())
                .syncUninterruptibly()
                .channel();
    }

    /** Returns whether the socket is bound. */
    boolean isOpen() {
        return channel != null;
    }

    EventLoop loop() {
        return channel.eventLoop();
    }

    /** Sends the same content to several hosts. */
    void send(byte[] content, List<HostAddress> targets) {
        for (HostAddress to : targets) {
            channel.write(
                    new DatagramPacket(Unpooled.wrappedBuffer(content), new InetSocketAddress(to.ip(), to.port())));
        }
        channel.flush();
    }

    /** Sends a reply to the sender of a message. */
    void reply(byte[] content, InetSocketAddress to) {
        channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(content), to));
    }

    private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {
        private final Handler reports;
        private final Handler messages;

        Receiver(Handler reports, Handler messages) {
            this.reports = reports;
            this.messages = messages;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            byte[] content = ByteBufUtil.getBytes(packet.content());
            try {
                (PeerMessageCodec.isMessage(content) ? messages : reports).accept(content, packet.sender());
            } catch (CodedException e) {
                log.line(LogTopic.PEER)
                        .with("outcome", "unreadable report")
                        .with("reason", e.getMessage())
                        .with("sender", packet.sender().toString())
                        .end();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            log.line(LogTopic.PEER)
                    .with("outcome", "receiving failed")
                    .with("reason", cause.toString())
                    .end();
        }
    }
}
