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
import java.util.ArrayList;
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
import org.dragonflygw.core.settings.HostAddress;
import org.dragonflygw.core.storenews.StoreNews;
import org.dragonflygw.wire.codec.HostReportCodec;

/**
 * Exchanges reports with the other hosts over UDP. Each round sends to a bounded number of hosts in turn, so that the
 * cost per host does not grow with the fleet.
 */
@SuppressWarnings("FutureReturnValueIgnored") // The next report replaces a lost datagram.
public final class PeerReports {
    /** Interval between rounds in milliseconds: shorter than most requests, so that peers see a load while it lasts. */
    private static final long ROUND_INTERVAL_MS = 200;

    /** Number of hosts that one round sends to. */
    private static final int FAN_OUT = 8;

    /** Maximum report size in bytes: the report of a host in a large fleet with several hundred endpoints. */
    private static final int MAX_REPORT_BYTES = 16_384;

    /**
     * Time since the last round, in nanoseconds, above which received news are ignored: this process was paused, and
     * queued datagrams may be older than they state.
     */
    private static final long MAX_STALL_NANOS = 600_000_000L;

    private final EventLoopGroup group;
    private final PeerTable peers;
    private final HostReportFactory reports;
    private final EventLog log;
    private final Consumer<HostReport> crashListener;
    private final Supplier<StoreNews> storeNews;
    private final Consumer<StoreNews> storeNewsListener;
    private final HostReportCodec codec = new HostReportCodec();

    private Channel channel;
    private int nextTarget;
    private long lastRoundNanos;

    /**
     * Creates an exchange that {@link #listen} starts.
     *
     * @param crashListener receives the accepted reports, for what peers know about crashes of endpoints
     * @param storeNews supplies this host's news about the store
     * @param storeNewsListener receives the peers' news about the store
     */
    public PeerReports(
            EventLoopGroup group,
            PeerTable peers,
            HostReportFactory reports,
            EventLog log,
            Consumer<HostReport> crashListener,
            Supplier<StoreNews> storeNews,
            Consumer<StoreNews> storeNewsListener) {
        this.group = group;
        this.peers = peers;
        this.reports = reports;
        this.log = log;
        this.crashListener = crashListener;
        this.storeNews = storeNews;
        this.storeNewsListener = storeNewsListener;
    }

    /** Binds to the address and starts to send and receive reports. */
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
        List<HostAddress> targets = peers.addresses();
        int rounds = Math.max(1, (targets.size() + FAN_OUT - 1) / FAN_OUT);
        List<HostAddress> inTurn = new ArrayList<>();
        for (int i = 0; i < Math.min(FAN_OUT, targets.size()); i++) {
            inTurn.add(targets.get(nextTarget++ % targets.size()));
        }
        send(reports.next(rounds, storeNews.get()), inTurn);
    }

    /** Sends a short report to the given hosts at once, after a read of the store. */
    public void reportNow(List<HostAddress> targets) {
        if (channel != null && !targets.isEmpty()) {
            send(reports.nextWithoutHoldings(storeNews.get()), targets);
        }
    }

    private void send(HostReport report, List<HostAddress> targets) {
        byte[] bytes = encode(report);
        for (HostAddress to : targets) {
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
        byte[] shorter = codec.encode(report.withoutHoldings());
        return shorter.length <= MAX_REPORT_BYTES ? shorter : codec.encode(report.withoutHoldingsAndLosses());
    }

    private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            try {
                HostReport report = codec.decode(ByteBufUtil.getBytes(packet.content()));
                boolean stalled = System.nanoTime() - lastRoundNanos > MAX_STALL_NANOS;
                boolean accepted = peers.onReport(report);
                if (accepted) {
                    crashListener.accept(report);
                }
                if (accepted && !stalled) {
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
