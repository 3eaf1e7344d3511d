package org.dragonflygw.edge;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.dragonflygw.core.admission.Admission;
import org.dragonflygw.core.admission.FleetShare;
import org.dragonflygw.core.catalog.CallerLimits;
import org.dragonflygw.core.catalog.Catalog;
import org.dragonflygw.core.catalog.CatalogHolder;
import org.dragonflygw.core.catalog.CatalogRoute;
import org.dragonflygw.core.catalog.CatalogService;
import org.dragonflygw.core.catalog.CatalogTeam;
import org.dragonflygw.core.catalog.RouteKind;
import org.dragonflygw.core.catalog.WeightedService;
import org.dragonflygw.core.contact.StoreContact;
import org.dragonflygw.core.crash.CrashSuspects;
import org.dragonflygw.core.crash.CrashingParts;
import org.dragonflygw.core.discovery.DiscoveredEndpoint;
import org.dragonflygw.core.dispatch.DispatchSettings;
import org.dragonflygw.core.dispatch.EndpointLoads;
import org.dragonflygw.core.dispatch.ExpectedTimeChooser;
import org.dragonflygw.core.dispatch.ServiceRoom;
import org.dragonflygw.core.exchange.EndpointNotices;
import org.dragonflygw.core.exchange.ExchangeContext;
import org.dragonflygw.core.exchange.RequestResolver;
import org.dragonflygw.core.exchange.SilenceCounts;
import org.dragonflygw.core.lease.SuspensionDetector;
import org.dragonflygw.core.limits.RetryAfterDelays;
import org.dragonflygw.core.limits.StartupHold;
import org.dragonflygw.core.log.NoOpEventLog;
import org.dragonflygw.core.paths.EndpointPaths;
import org.dragonflygw.core.peers.HostRanking;
import org.dragonflygw.core.ratelimit.EndpointPermits;
import org.dragonflygw.core.ratelimit.PermitDecision;
import org.dragonflygw.core.relay.RelayPeers;
import org.dragonflygw.core.resume.OriginReply;
import org.dragonflygw.core.resume.OriginTransport;
import org.dragonflygw.core.resume.SoftwareVersions;
import org.dragonflygw.core.resume.StreamOrigin;
import org.dragonflygw.core.resume.StreamOrigins;
import org.dragonflygw.core.retry.FleetRetryShare;
import org.dragonflygw.core.settings.HostAddress;
import org.dragonflygw.core.settings.RetryBounds;
import org.dragonflygw.edge.front.FrontContext;
import org.dragonflygw.edge.front.FrontServer;
import org.dragonflygw.edge.front.FrontState;
import org.dragonflygw.edge.front.RelayContext;
import org.dragonflygw.edge.memory.HeaderBudget;
import org.dragonflygw.edge.ops.EdgeMetrics;
import org.dragonflygw.edge.stop.GracefulStop;
import org.dragonflygw.edge.upstream.ConnectProbe;
import org.dragonflygw.edge.upstream.EndpointConnectionPool;
import org.dragonflygw.edge.upstream.RelayClient;
import org.dragonflygw.platform.adapter.CallerHeaders;
import org.dragonflygw.platform.adapter.EndpointHeaders;
import org.dragonflygw.standins.raw.RawEndpoint;

/** Runs the data plane on loopback with a fixed configuration, in front of endpoints that the test scripts. */
@SuppressWarnings("FutureReturnValueIgnored") // The loop ends with the test.
final class EdgeFixture implements AutoCloseable {
    private static final int READ_TIMEOUT_MS = 5_000;
    private static final long PATH_CHECK_MS = 20;
    static final String SERVICE = "s";

    /** Grants each permit at once. */
    private static final EndpointPermits PERMITS =
            (endpoint, listener) -> listener.accept(new PermitDecision(true, "", 0, Double.POSITIVE_INFINITY));

    private static final OriginTransport NO_PEERS = new OriginTransport() {
        @Override
        public void tell(List<String> hosts, String attempt, StreamOrigin origin) {}

        @Override
        public void ask(String host, String attempt, String service, Consumer<Optional<OriginReply>> listener) {}
    };

    final FrontState frontState = new FrontState();
    final EndpointLoads loads = new EndpointLoads();
    /** Whether requests that find all endpoints at capacity may wait. */
    volatile boolean boundedWait;

    final Admission admission = new Admission(
            () -> boundedWait,
            new ServiceRoom(loads),
            new FleetShare(() -> OptionalInt.of(1)),
            new SplittableRandom(1),
            new NoOpEventLog(),
            System::nanoTime,
            InstantSource.system());

    /** Addresses at which other hosts take relayed requests, by host. */
    private final Map<String, HostAddress> otherHosts = new ConcurrentHashMap<>();

    final EndpointPaths paths;
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final Channel listener;
    private final int port;
    private final int relayPort;

    EdgeFixture(RawEndpoint... endpoints) {
        this(HeaderBudget.partOfHeap(), endpoints);
    }

    /** Runs the data plane with a bound for the heads of all connections, in bytes of heap. */
    EdgeFixture(long maxHeaderBytes, RawEndpoint... endpoints) {
        CatalogHolder catalogs = new CatalogHolder();
        catalogs.offer(catalog());
        StoreContact contact =
                new StoreContact(() -> TimeUnit.MINUTES.toNanos(5), System::nanoTime, InstantSource.system());
        contact.onRead(System.nanoTime());
        EdgeMetrics metrics = new EdgeMetrics(new MetricRegistry());
        ExpectedTimeChooser chooser =
                new ExpectedTimeChooser(loads, () -> new DispatchSettings("a", 2), (all, now) -> all);
        FleetRetryShare retries = new FleetRetryShare(
                () -> new RetryBounds(1, 100, TimeUnit.SECONDS.toNanos(10)),
                () -> OptionalInt.of(1),
                new SuspensionDetector(System::nanoTime, InstantSource.system()),
                System.nanoTime() - TimeUnit.SECONDS.toNanos(10));
        EndpointNotices notices = new EndpointNotices(loads, new NoOpEventLog(), System::nanoTime);
        ExchangeContext exchanges = new ExchangeContext(
                chooser,
                loads,
                admission,
                PERMITS,
                new StreamOrigins(
                        "self",
                        new HostRanking("self", Set::of, System::nanoTime),
                        h -> false,
                        new SoftwareVersions(() -> -1, System::nanoTime),
                        NO_PEERS,
                        System::nanoTime),
                notices,
                retries,
                new CrashSuspects(new NoOpEventLog()),
                new CrashingParts(new NoOpEventLog()),
                new ConnectProbe(group, metrics, "", new NoOpEventLog()),
                new SilenceCounts(),
                new RetryAfterDelays(new SplittableRandom(1)),
                new NoOpEventLog(),
                System::nanoTime);
        for (int i = 0; i < endpoints.length; i++) {
            addEndpoint("i-" + i, endpoints[i]);
        }
        paths = new EndpointPaths(
                loads,
                new ConnectProbe(group, metrics, "", new NoOpEventLog()),
                new EndpointPaths.Listener() {
                    @Override
                    public void onLost(String service) {}

                    @Override
                    public void onRegained(String service) {}
                },
                new Random(1),
                new NoOpEventLog(),
                System::nanoTime);
        group.next().scheduleWithFixedDelay(paths::check, PATH_CHECK_MS, PATH_CHECK_MS, TimeUnit.MILLISECONDS);
        HeaderBudget headerBudget = new HeaderBudget(maxHeaderBytes, metrics::onClosedForMemory, new NoOpEventLog());
        FrontContext front = new FrontContext(
                catalogs,
                new RequestResolver(catalogs, contact),
                new StartupHold(() -> true, System::nanoTime),
                exchanges,
                new EndpointConnectionPool(
                        group, new EndpointHeaders(), notices, paths, metrics, headerBudget, new NoOpEventLog()),
                new RelayContext(
                        paths,
                        new RelayPeers(otherHosts::keySet, new Random(1), System::nanoTime),
                        host -> Optional.ofNullable(otherHosts.get(host)),
                        new RelayClient(group, new EndpointHeaders(), headerBudget),
                        false),
                new CallerHeaders(),
                new EndpointHeaders(),
                headerBudget,
                frontState,
                metrics);
        listener = new FrontServer(group, front).listen(new HostAddress("127.0.0.1", 0));
        port = ((InetSocketAddress) listener.localAddress()).getPort();
        Channel relayListener =
                new FrontServer(group, front.forIncomingRelays()).listen(new HostAddress("127.0.0.1", 0));
        relayPort = ((InetSocketAddress) relayListener.localAddress()).getPort();
    }

    void addEndpoint(String id, RawEndpoint endpoint) {
        addEndpoint(id, endpoint, 8);
    }

    void addEndpoint(String id, RawEndpoint endpoint, int slots) {
        loads.onUpdated(
                new DiscoveredEndpoint(id, SERVICE, "127.0.0.1", endpoint.port(), "a", slots, false, 0, 1, "v1"));
    }

    /** Lets this host pass requests to another one. */
    void addHost(String name, EdgeFixture host) {
        addHost(name, host.relayPort);
    }

    void addHost(String name, int port) {
        otherHosts.put(name, new HostAddress("127.0.0.1", port));
    }

    void removeEndpoint(String id) {
        loads.onRemoved(loads.get(id).orElseThrow().entry());
    }

    private static Catalog catalog() {
        List<CatalogRoute> routes = List.of(
                route("/once/", RouteKind.NON_IDEMPOTENT, false),
                route("/again/", RouteKind.IDEMPOTENT, false),
                route("/stream/", RouteKind.STREAMING, false),
                route("/resume/", RouteKind.STREAMING, true));
        CatalogTeam team = new CatalogTeam("team", OptionalInt.empty());
        return new Catalog(
                1,
                CallerLimits.DEFAULT,
                routes,
                List.of(new CatalogService(SERVICE, "/", 10, 8, 0, 0)),
                Optional.of(Map.of("key", team, "second-key", team)));
    }

    private static CatalogRoute route(String prefix, RouteKind kind, boolean resumable) {
        return new CatalogRoute(
                prefix,
                "h",
                prefix,
                kind,
                3_000,
                1_000,
                1,
                List.of(new WeightedService(SERVICE, 1)),
                2,
                false,
                false,
                resumable,
                400);
    }

    Socket connect() throws IOException {
        Socket s = new Socket(InetAddress.getLoopbackAddress(), port);
        s.setSoTimeout(READ_TIMEOUT_MS);
        return s;
    }

    /** Closes idle connections on the event loop, as {@link GracefulStop} does. */
    void closeIdle() {
        group.next().submit(frontState::closeIdle).syncUninterruptibly();
    }

    /** Returns a stop of which the admission knows, as with {@link EdgeNode#stop}. */
    GracefulStop stop(long graceMs) {
        group.next().execute(admission::beginStop);
        return new GracefulStop(group.next(), frontState, new NoOpEventLog(), graceMs, listener::close);
    }

    static String request(String path, String id) {
        return "POST " + path + " HTTP/1.1\r\nHost: h\r\nDragonflygw-Attempt-Id: " + id
                + "\r\nDragonflygw-Deadline-Ms: 2500\r\nAuthorization: Bearer key\r\nContent-Length: 4\r\n\r\nbody";
    }

    /** Sends a request on a new connection and returns all bytes up to the end of the connection. */
    String exchange(String request) throws IOException {
        try (Socket s = connect()) {
            send(s, request.replace("Host: h\r\n", "Host: h\r\nConnection: close\r\n"));
            return new String(s.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }

    static void send(Socket s, String text) throws IOException {
        s.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        s.getOutputStream().flush();
    }

    /** Reads from a connection up to and including the given text. */
    static String readUntil(Socket s, String end) throws IOException {
        InputStream in = s.getInputStream();
        StringBuilder text = new StringBuilder();
        while (text.indexOf(end) < 0) {
            int b = in.read();
            if (b < 0) {
                throw new IOException("connection ended after: " + text);
            }
            text.append((char) b);
        }
        return text.toString();
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
