package org.dragonflygw.edge.peers;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.util.List;
import org.dragonflygw.core.error.CodedException;
import org.dragonflygw.core.log.EventLog;
import org.dragonflygw.core.log.LogTopic;
import org.dragonflygw.core.peers.PauseDetector;
import org.dragonflygw.core.settings.HostAddress;
import org.dragonflygw.wire.codec.PeerMessageCodec;

/** The UDP socket over which hosts exchange reports and other messages. Used by the event loop only. */
@SuppressWarnings("FutureReturnValueIgnored") // A lost datagram is like one that the network loses.
public final class PeerSocket {
    /** Maximum datagram size in bytes: the report of a host in a large fleet with several hundred endpoints. */
    static final int MAX_DATAGRAM_BYTES = 16_384;

    /** Maximum number of datagrams read at once; the socket is empty if there were fewer. */
    private static final int MAX_READ_AT_ONCE = 8;

    private final EventLoopGroup group;
    private final EventLog log;
    private PauseDetector pauses;
    private Channel channel;

    public PeerSocket(EventLoopGroup group, EventLog log) {
        this.group = group;
        this.log = log;
    }

    /** Receives datagrams; throws {@link CodedException} if it cannot be read. */
    @FunctionalInterface
    public interface Handler {
        void accept(Datagram datagram);
    }

    /**
     * Binds to an address.
     *
     * @param reports receives reports
     * @param messages receives all other messages
     */
    public void listen(HostAddress address, Handler reports, Handler messages) {
        pauses = new PauseDetector(System.nanoTime());
        DatagramAllocator allocator = new DatagramAllocator(MAX_DATAGRAM_BYTES, MAX_READ_AT_ONCE);
        channel = new Bootstrap()
                .group(group)
                .channel(NioDatagramChannel.class)
                .option(ChannelOption.RECVBUF_ALLOCATOR, allocator)
                .handler(new Receiver(allocator, reports, messages))
                .bind(address.ip(), address.port())
                .syncUninterruptibly()
                .channel();
    }

    /** Returns whether the socket is bound. */
    boolean isOpen() {
        return channel != null;
    }

    /** Called in each round of reports, whose delay shows a pause of this process. */
    void onRound() {
        pauses.onRound(System.nanoTime());
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
        private final DatagramAllocator source;
        private final Handler reports;
        private final Handler messages;
        private long arrivedAfterNanos;

        Receiver(DatagramAllocator source, Handler reports, Handler messages) {
            this.source = source;
            this.arrivedAfterNanos = source.emptyNanos();
            this.reports = reports;
            this.messages = messages;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            byte[] content = ByteBufUtil.getBytes(packet.content());
            boolean waited = pauses.mayHaveWaited(arrivedAfterNanos, System.nanoTime());
            try {
                (PeerMessageCodec.isMessage(content) ? messages : reports)
                        .accept(new Datagram(content, packet.sender(), arrivedAfterNanos, waited));
            } catch (CodedException e) {
                log.line(LogTopic.PEER)
                        .with("outcome", "unreadable report")
                        .with("reason", e.getMessage())
                        .with("sender", packet.sender().toString())
                        .end();
            }
        }

        /** All datagrams of a read are passed on after it; only the next ones arrived after the socket was empty. */
        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            arrivedAfterNanos = source.emptyNanos();
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
