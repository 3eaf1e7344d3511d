package org.dragonflygw.edge.peers;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.dragonflygw.core.error.CodedException;
import org.dragonflygw.core.log.EventLog;
import org.dragonflygw.core.log.LogTopic;
import org.dragonflygw.core.peers.HostReport;
import org.dragonflygw.core.peers.HostReportFactory;
import org.dragonflygw.core.peers.PeerTable;
import org.dragonflygw.core.retry.CrashSuspect;
import org.dragonflygw.core.retry.FleetRetryShare;
import org.dragonflygw.core.settings.HostAddress;
import org.dragonflygw.core.storenews.StoreNews;
import org.dragonflygw.wire.codec.HostReportCodec;

/**
 * Exchanges reports with the other hosts by datagrams. Each round goes to a bounded number of hosts in turn, so that
 * the cost of a host does not grow with the fleet.
 */
@SuppressWarnings("FutureReturnValueIgnored") // A lost datagram is made good by the next.
public final class PeerReports {
    /** Pause between reports in milliseconds: shorter than most requests, so that loads are known while they last. */
    private static final long ROUND_INTERVAL_MS = 200;

    /** Hosts that are told in one round. */
    private static final int FAN_OUT = 8;

    /** Hosts that are told at once what was read of the store: a group of hosts that share one reader. */
    private static final int MAX_IMMEDIATE_TARGETS = 80;

    /** Largest report in bytes: what a host of a large fleet has at several hundred endpoints. */
    private static final int MAX_REPORT_BYTES = 16_384;

    /** Pause of this process after which waiting messages may be older than they say, in nanoseconds. */
    private static final long MAX_STALL_NANOS = 600_000_000L;

    private final EventLoopGroup group;
    private final PeerTable peers;
    private final HostReportFactory reports;
    private final FleetRetryShare retries;
    private final EventLog log;
    private final Consumer<List<CrashSuspect>> crashSuspectListener;
    private final Supplier<StoreNews> storeNews;
    private final Consumer<StoreNews> storeNewsListener;
    private final HostReportCodec codec = new HostReportCodec();

    private Channel channel;
    private int nextTarget;
    private long lastRoundNanos;

    /**
     * Makes an exchange; {@link #listen} starts it.
     *
     * @param crashTaker takes which requests may crash endpoints
     * @param news what this host has read of the store
     * @param newsTaker takes what others have read
     */
    public PeerReports(
            EventLoopGroup group,
            PeerTable peers,
            HostReportFactory reports,
            FleetRetryShare retries,
            EventLog log,
            Consumer<List<CrashSuspect>> crashTaker,
            Supplier<StoreNews> news,
            Consumer<StoreNews> newsTaker) {
        this.group = group;
        this.peers = peers;
        this.reports = reports;
        this.retries = retries;
        this.log = log;
        this.crashSuspectListener = crashTaker;
        this.storeNews = news;
        this.storeNewsListener = newsTaker;
    }

    /** Listens on an address and begins to send. */
    public void listen(HostAddress address) {
        channel = new Bootstrap()
                .group(group)
                .channel(NioDatagramChannel.class)
                .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(MAX_REPORT_BYTES))
                .handler(new Receiver())
                .bind(address.ip(), address.port())
                .syncUninterruptibly()
                .channel();
        channel.eventLoop()
                .scheduleWithFixedDelay(this::sendRound, ROUND_INTERVAL_MS, ROUND_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    private void sendRound() {
        lastRoundNanos = System.nanoTime();
        peers.refreshPeerLoads();
        retries.setHostCount(peers.hostCount());
        List<HostAddress> targets = peers.addresses();
        int rounds = Math.max(1, (targets.size() + FAN_OUT - 1) / FAN_OUT);
        send(targets, Math.min(FAN_OUT, targets.size()), rounds);
    }

    /** Tells many hosts at once what was just read of the store. */
    public void reportNow() {
        List<HostAddress> targets = peers.addresses();
        if (channel != null && !targets.isEmpty()) {
            send(targets, Math.min(MAX_IMMEDIATE_TARGETS, targets.size()), 1);
        }
    }

    private void send(List<HostAddress> targets, int count, int rounds) {
        byte[] bytes = encode(reports.next(rounds, storeNews.get()));
        for (int i = 0; i < count; i++) {
            HostAddress to = targets.get(nextTarget++ % targets.size());
            channel.write(new DatagramPacket(Unpooled.wrappedBuffer(bytes), new InetSocketAddress(to.ip(), to.port())));
        }
        channel.flush();
    }

    private byte[] encode(HostReport report) {
        byte[] bytes = codec.encode(report);
        if (bytes.length <= MAX_REPORT_BYTES) {
            return bytes;
        }
        log.line(LogTopic.PEER)
                .with("outcome", "report cut")
                .with("bytes", bytes.length)
                .end();
        return codec.encode(report.withoutHoldings());
    }

    private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            try {
                HostReport report = codec.decode(ByteBufUtil.getBytes(packet.content()));
                boolean stalled = System.nanoTime() - lastRoundNanos > MAX_STALL_NANOS;
                boolean taken = peers.onReport(report);
                if (taken) {
                    crashSuspectListener.accept(report.crashes());
                }
                if (taken && !stalled) {
                    storeNewsListener.accept(report.news());
                }
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
