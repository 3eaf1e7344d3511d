package org.dragonflygw.edge;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.Range;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.dragonflygw.core.crash.CrashReport;
import org.dragonflygw.core.crash.CrashSuspects;
import org.dragonflygw.core.crash.CrashingParts;
import org.dragonflygw.core.crash.PartReport;
import org.dragonflygw.core.discovery.DiscoveredEndpoint;
import org.dragonflygw.core.dispatch.EndpointLoads;
import org.dragonflygw.core.dispatch.Prompt;
import org.dragonflygw.core.dispatch.PromptPart;
import org.dragonflygw.core.evacuation.EvacuationNews;
import org.dragonflygw.core.log.NoOpEventLog;
import org.dragonflygw.core.peers.FleetLoads;
import org.dragonflygw.core.peers.HostRanking;
import org.dragonflygw.core.peers.HostReport;
import org.dragonflygw.core.peers.HostReportFactory;
import org.dragonflygw.core.peers.PeerTable;
import org.dragonflygw.core.peers.ReportRounds;
import org.dragonflygw.core.settings.HostAddress;
import org.dragonflygw.core.storenews.ConfigurationNews;
import org.dragonflygw.core.storenews.EndpointChange;
import org.dragonflygw.core.storenews.StoreNews;
import org.dragonflygw.edge.peers.LoadExchange;
import org.dragonflygw.edge.peers.PeerReports;
import org.dragonflygw.edge.peers.PeerSocket;
import org.dragonflygw.wire.codec.HostReportCodec;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Sends reports between two hosts on loopback. */
final class PeerReportsTest {
    private static final int ENDPOINTS = 100;
    private static final int CHANGES = 32;
    private static final int WAIT_S = 10;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final BlockingQueue<StoreNews> received = new ArrayBlockingQueue<>(1_000);

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private static HostAddress freeAddress() throws SocketException {
        try (DatagramSocket s = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            return new HostAddress("127.0.0.1", s.getLocalPort());
        }
    }

    private static DiscoveredEndpoint endpoint(int number) {
        return new DiscoveredEndpoint(
                "i-" + (1_000_000_000L + number),
                "service",
                "10.10.10.10",
                8_309,
                "zone-a",
                64,
                false,
                0,
                number,
                "v1");
    }

    private PeerReports host(
            String name,
            HostAddress own,
            HostAddress other,
            EndpointLoads loads,
            Supplier<StoreNews> news,
            PeerReports.NewsListener taker) {
        return host(name, own, other, loads, news, taker, group);
    }

    private static PeerReports host(
            String name,
            HostAddress own,
            HostAddress other,
            EndpointLoads loads,
            Supplier<StoreNews> news,
            PeerReports.NewsListener taker,
            EventLoopGroup loops) {
        PeerTable peers = new PeerTable(name, loads, new NoOpEventLog(), System::nanoTime);
        peers.onHostListed("other-than-" + name, other);
        HostReportFactory reportFactory = new HostReportFactory(
                name,
                own,
                1,
                loads,
                new CrashSuspects(new NoOpEventLog()),
                new CrashingParts(new NoOpEventLog()),
                System::nanoTime);
        PeerSocket socket = new PeerSocket(loops, new NoOpEventLog());
        HostRanking ranking = new HostRanking(name, peers::hostNames, System::nanoTime);
        FleetLoads fleet = new FleetLoads(name, 1, peers, loads, ranking, new NoOpEventLog(), System::nanoTime);
        return new PeerReports(
                socket,
                peers,
                new ReportRounds(peers, reportFactory, fleet, new SplittableRandom()),
                new LoadExchange(socket, fleet, new NoOpEventLog()),
                new NoOpEventLog(),
                c -> {},
                news,
                taker);
    }

    private static EndpointLoads busyLoads() {
        EndpointLoads loads = new EndpointLoads();
        for (int i = 0; i < ENDPOINTS; i++) {
            loads.onUpdated(endpoint(i));
            Prompt prompt = new Prompt(
                    List.of(new PromptPart(Long.MAX_VALUE - i, 5_000), new PromptPart(Long.MAX_VALUE / 2 - i, 300)),
                    5_300,
                    100);
            loads.onSent(loads.get(endpoint(i).id()).orElseThrow(), prompt, 5_300, 0);
        }
        return loads;
    }

    private static StoreNews newsOfManyChanges() {
        List<EndpointChange> changes = new ArrayList<>();
        for (int i = 0; i < CHANGES; i++) {
            changes.add(new EndpointChange(endpoint(i).id(), Optional.of(endpoint(i)), i + 1));
        }
        return new StoreNews(
                0, true, CHANGES, 0, 0, changes, new ConfigurationNews(1, 0, 0, List.of()), EvacuationNews.UNKNOWN);
    }

    /**
     * Guards against reports that are truncated: a host of a large fleet has requests at many endpoints, and many
     * entries change during a release.
     */
    @Test
    void reportOfALargeFleetArrivesComplete() throws Exception {
        HostAddress a = freeAddress();
        HostAddress b = freeAddress();
        host("b", b, a, new EndpointLoads(), () -> StoreNews.NONE, (news, arrivedAfterNanos) -> received.add(news))
                .listen(b, datagram -> {});
        host("a", a, b, busyLoads(), PeerReportsTest::newsOfManyChanges, (n, t) -> {})
                .listen(a, datagram -> {});
        assertThat(received.poll(WAIT_S, TimeUnit.SECONDS)).isEqualTo(newsOfManyChanges());
    }

    /** Guards against one unexpected error in a round after which this host never reports again. */
    @Test
    void goOnAfterARoundThatFails() throws Exception {
        HostAddress a = freeAddress();
        HostAddress b = freeAddress();
        AtomicInteger rounds = new AtomicInteger();
        Supplier<StoreNews> failingOnce = () -> {
            if (rounds.getAndIncrement() == 0) {
                throw new IllegalStateException("first round");
            }
            return newsOfManyChanges();
        };
        host("b", b, a, new EndpointLoads(), () -> StoreNews.NONE, (news, arrivedAfterNanos) -> received.add(news))
                .listen(b, datagram -> {});
        host("a", a, b, new EndpointLoads(), failingOnce, (n, t) -> {}).listen(a, datagram -> {});
        assertThat(received.poll(WAIT_S, TimeUnit.SECONDS)).isEqualTo(newsOfManyChanges());
    }

    /** Guards against a datagram that ends the receiving of all others. */
    @Test
    void goOnAfterMalformedDatagrams() throws Exception {
        HostAddress a = freeAddress();
        HostAddress b = freeAddress();
        host("b", b, a, new EndpointLoads(), () -> StoreNews.NONE, (news, arrivedAfterNanos) -> received.add(news))
                .listen(b, datagram -> {
                    throw new IllegalStateException("message");
                });
        SplittableRandom random = new SplittableRandom(1);
        try (DatagramSocket s = new DatagramSocket()) {
            for (int i = 0; i < 200; i++) {
                byte[] bytes = new byte[random.nextInt(64)];
                random.nextBytes(bytes);
                s.send(new DatagramPacket(bytes, bytes.length, InetAddress.getLoopbackAddress(), b.port()));
            }
        }
        host("a", a, b, new EndpointLoads(), PeerReportsTest::newsOfManyChanges, (n, t) -> {})
                .listen(a, datagram -> {});
        assertThat(received.poll(WAIT_S, TimeUnit.SECONDS)).isEqualTo(newsOfManyChanges());
    }

    /** The process stands still while reports arrive, which then wait in its socket and are older than they state. */
    @Nested
    final class AfterAPause {
        private static final int REPORTS = 20;
        private static final long LONG_PAUSE_MS = 1_500;
        private static final long SHORT_PAUSE_MS = 300;

        private final EventLoopGroup paused = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        private final BlockingQueue<Delivery> deliveries = new ArrayBlockingQueue<>(1_000);
        private final HostReportCodec codec = new HostReportCodec();
        private HostAddress own;
        private long sequence;

        /** News, by the version that they name, and the time that they count from. */
        private record Delivery(long version, long arrivedAfterNanos) {}

        @BeforeEach
        void listen() throws SocketException {
            own = freeAddress();
            host(
                            "b",
                            own,
                            freeAddress(),
                            new EndpointLoads(),
                            () -> StoreNews.NONE,
                            (news, t) -> deliveries.add(new Delivery(news.endpointsVersion(), t)),
                            paused)
                    .listen(own, datagram -> {});
        }

        @AfterEach
        void stop() {
            paused.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        }

        private void sendReport(DatagramSocket from) throws IOException {
            sequence++;
            StoreNews news = new StoreNews(
                    0,
                    true,
                    sequence,
                    0,
                    0,
                    List.of(),
                    new ConfigurationNews(1, 0, 0, List.of()),
                    EvacuationNews.UNKNOWN);
            HostReport report = new HostReport(
                    "a",
                    own,
                    1,
                    sequence,
                    List.of(),
                    List.of(),
                    CrashReport.NONE,
                    PartReport.NONE,
                    List.of(),
                    List.of(),
                    news);
            byte[] bytes = codec.encode(report);
            from.send(new DatagramPacket(bytes, bytes.length, InetAddress.getLoopbackAddress(), own.port()));
        }

        private Delivery awaitDelivery(DatagramSocket from) throws Exception {
            for (int i = 0; i < WAIT_S * 20; i++) {
                sendReport(from);
                Delivery d = deliveries.poll(50, TimeUnit.MILLISECONDS);
                if (d != null) {
                    return d;
                }
            }
            throw new AssertionError("no news arrived");
        }

        private CountDownLatch pause() throws InterruptedException {
            CountDownLatch begun = new CountDownLatch(1);
            CountDownLatch end = new CountDownLatch(1);
            paused.next().execute(() -> {
                begun.countDown();
                try {
                    end.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            begun.await();
            return end;
        }

        /** Guards against queued reports, all but the first of which count as new once the overdue round has run. */
        @Test
        void newsThatWaitedAreIgnored() throws Exception {
            try (DatagramSocket from = new DatagramSocket()) {
                awaitDelivery(from);
                CountDownLatch end = pause();
                long first = sequence + 1;
                for (int i = 0; i < REPORTS; i++) {
                    sendReport(from);
                }
                long last = sequence;
                Thread.sleep(LONG_PAUSE_MS);
                end.countDown();
                for (long version = 0; version <= last; ) {
                    version = awaitDelivery(from).version();
                    assertThat(version).isNotIn(Range.closed(first, last));
                }
            }
        }

        /** Guards against an age that counts from the moment at which a report is read. */
        @Test
        void newsCountFromBeforeTheyArrived() throws Exception {
            try (DatagramSocket from = new DatagramSocket()) {
                awaitDelivery(from);
                CountDownLatch end = pause();
                deliveries.clear();
                long sentNanos = System.nanoTime();
                for (int i = 0; i < REPORTS; i++) {
                    sendReport(from);
                }
                Thread.sleep(SHORT_PAUSE_MS);
                end.countDown();
                for (int i = 0; i < REPORTS; i++) {
                    Delivery d = deliveries.poll(WAIT_S, TimeUnit.SECONDS);
                    assertThat(d.arrivedAfterNanos()).isAtMost(sentNanos);
                }
            }
        }
    }
}
