package org.dragonflygw.edge;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.time.InstantSource;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.dragonflygw.core.admission.Admission;
import org.dragonflygw.core.admission.FleetShare;
import org.dragonflygw.core.catalog.CatalogHolder;
import org.dragonflygw.core.contact.StoreContact;
import org.dragonflygw.core.crash.CrashSuspects;
import org.dragonflygw.core.crash.CrashingParts;
import org.dragonflygw.core.crash.StoredSuspects;
import org.dragonflygw.core.discovery.DiscoveredEndpoint;
import org.dragonflygw.core.discovery.EndpointListener;
import org.dragonflygw.core.discovery.EndpointRegistry;
import org.dragonflygw.core.dispatch.BoundedHashChooser;
import org.dragonflygw.core.dispatch.ChoicePolicy;
import org.dragonflygw.core.dispatch.DispatchSettings;
import org.dragonflygw.core.dispatch.EndpointChooser;
import org.dragonflygw.core.dispatch.EndpointLoads;
import org.dragonflygw.core.dispatch.ExpectedTimeChooser;
import org.dragonflygw.core.dispatch.FleetSizeSampler;
import org.dragonflygw.core.dispatch.RoundRobinChooser;
import org.dragonflygw.core.dispatch.ServiceRoom;
import org.dragonflygw.core.dispatch.TwoChoicesChooser;
import org.dragonflygw.core.evacuation.Evacuations;
import org.dragonflygw.core.exchange.EndpointNotices;
import org.dragonflygw.core.exchange.ExchangeContext;
import org.dragonflygw.core.exchange.RejectionPauses;
import org.dragonflygw.core.exchange.RequestResolver;
import org.dragonflygw.core.exchange.SilenceCounts;
import org.dragonflygw.core.lease.SuspensionDetector;
import org.dragonflygw.core.limits.RetryAfterDelays;
import org.dragonflygw.core.limits.StartupHold;
import org.dragonflygw.core.log.EventLog;
import org.dragonflygw.core.log.LogTopic;
import org.dragonflygw.core.paths.EndpointPaths;
import org.dragonflygw.core.peers.FleetLoads;
import org.dragonflygw.core.peers.HostRanking;
import org.dragonflygw.core.peers.HostReport;
import org.dragonflygw.core.peers.HostReportFactory;
import org.dragonflygw.core.peers.PeerTable;
import org.dragonflygw.core.peers.ReportRounds;
import org.dragonflygw.core.ratelimit.PermitIssuer;
import org.dragonflygw.core.ratelimit.PermitOwners;
import org.dragonflygw.core.ratelimit.SharedPermits;
import org.dragonflygw.core.relay.RelayPeers;
import org.dragonflygw.core.resume.ResumableRoutes;
import org.dragonflygw.core.resume.SoftwareVersions;
import org.dragonflygw.core.resume.StreamOrigins;
import org.dragonflygw.core.retry.FleetRetryShare;
import org.dragonflygw.core.settings.HostAddress;
import org.dragonflygw.core.settings.HostBounds;
import org.dragonflygw.core.settings.HostIdentity;
import org.dragonflygw.core.settings.SettingsHolder;
import org.dragonflygw.core.warmup.WarmupTracker;
import org.dragonflygw.edge.front.FrontContext;
import org.dragonflygw.edge.front.FrontServer;
import org.dragonflygw.edge.front.FrontState;
import org.dragonflygw.edge.front.RelayContext;
import org.dragonflygw.edge.log.GuardedTask;
import org.dragonflygw.edge.memory.HeaderBudget;
import org.dragonflygw.edge.ops.EdgeMetrics;
import org.dragonflygw.edge.ops.EndpointGauges;
import org.dragonflygw.edge.ops.ExchangeGauges;
import org.dragonflygw.edge.ops.OpsServer;
import org.dragonflygw.edge.peers.LoadExchange;
import org.dragonflygw.edge.peers.PeerMessages;
import org.dragonflygw.edge.peers.PeerReports;
import org.dragonflygw.edge.peers.PeerSocket;
import org.dragonflygw.edge.stop.GracefulStop;
import org.dragonflygw.edge.store.StoreView;
import org.dragonflygw.edge.upstream.ConnectProbe;
import org.dragonflygw.edge.upstream.EndpointConnectionPool;
import org.dragonflygw.edge.upstream.RelayClient;
import org.dragonflygw.platform.adapter.CallerHeaders;
import org.dragonflygw.platform.adapter.EndpointHeaders;

/**
 * One router process: creates its components, connects them and starts them. Requests, store reads and peer reports are
 * all handled by one event loop thread.
 */
public final class EdgeNode {
    /**
     * Fraction of the time allowed for a revocation within which the keys must have been confirmed. Older keys are not
     * accepted.
     */
    private static final double MAX_KEY_AGE_FRACTION = 0.85;

    /** Interval in milliseconds at which held requests are checked while the process starts. */
    private static final long HOLD_CHECK_MS = 10;

    /** Interval in milliseconds at which cold endpoints are checked for the end of their warm-up. */
    private static final long WARMUP_CHECK_MS = 200;

    /** Interval in milliseconds at which the paths to endpoints are checked. */
    private static final long PATH_CHECK_MS = 100;

    private final SettingsHolder settings;
    private final HostIdentity identity;
    private final ChoicePolicy policy;
    private final EventLog log;
    private final EventLoopGroup group;
    private final CatalogHolder catalogs = new CatalogHolder();
    private final FrontState frontState = new FrontState();
    private final StartupHold startupHold = new StartupHold(this::isPrepared, System::nanoTime);
    private final EdgeMetrics metrics;
    private final EndpointHeaders endpointHeaders = new EndpointHeaders();
    private final EndpointPaths paths;
    private final HeaderBudget headerBudget;
    private final EndpointConnectionPool pool;
    private final StoreContact contact;
    private final EndpointLoads loads = new EndpointLoads();
    private final EndpointNotices notices;
    private final EndpointRegistry registry;
    private final WarmupTracker warmups;
    private final FleetRetryShare retries;
    private final CrashSuspects crashes;
    private final CrashingParts crashingParts;
    private final PeerTable peers;
    private final Admission admission;
    private final StoreView store;
    private final PeerSocket peerSocket;
    private final FleetLoads fleetLoads;
    private final long startedMs = InstantSource.system().instant().toEpochMilli();
    private final PermitIssuer permitIssuer;
    private final PeerMessages messages;
    private final SharedPermits permits;
    private final SoftwareVersions versions;
    private final StreamOrigins origins;
    private PeerReports reports;
    private volatile Channel listener;
    private volatile boolean lastLoggedReady;

    /** Creates a node; {@link #start} starts it. */
    public EdgeNode(SettingsHolder settings, ChoicePolicy policy, EventLog log) {
        this.settings = settings;
        this.policy = policy;
        this.identity = settings.current().identity();
        this.log = log;
        this.group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        this.metrics = new EdgeMetrics(new MetricRegistry());
        this.contact = new StoreContact(this::maxKeyAgeNanos, System::nanoTime, InstantSource.system());
        this.registry = new EndpointRegistry(new EndpointUpdates(), this::heartbeatNanos, log);
        this.warmups = new WarmupTracker(
                loads.rates(), catalogs::current, registry::loaded, System::nanoTime, InstantSource.system(), log);
        catalogs.onChange(c -> warmups.refresh());
        this.peers = new PeerTable(identity.hostName(), loads, log, System::nanoTime);
        this.notices = new EndpointNotices(
                loads,
                warmups::onResponse,
                new RejectionPauses(peers::fleetSize, new SplittableRandom()),
                log,
                System::nanoTime);
        this.paths = new EndpointPaths(
                loads,
                new ConnectProbe(group, metrics, "as its service seems out of reach", log),
                new PathChanges(),
                new Random(),
                log,
                System::nanoTime);
        this.headerBudget = new HeaderBudget(HeaderBudget.partOfHeap(), metrics::onClosedForMemory, log);
        this.pool = new EndpointConnectionPool(group, endpointHeaders, notices, paths, metrics, headerBudget, log);
        this.crashes = new CrashSuspects(log);
        this.crashingParts = new CrashingParts(log);
        this.admission = new Admission(
                () -> settings.bounds().boundedWait(),
                new ServiceRoom(loads),
                new FleetShare(peers::fleetSize),
                new SplittableRandom(),
                log,
                System::nanoTime,
                InstantSource.system());
        HostRanking ranking = new HostRanking(identity.hostName(), peers::rankedHosts, System::nanoTime);
        PermitOwners owners = new PermitOwners(identity.hostName(), ranking, peers::isListed, peers::mayBeUp);
        this.peerSocket = new PeerSocket(group, log);
        this.fleetLoads = new FleetLoads(identity.hostName(), startedMs, peers, loads, ranking, log, System::nanoTime);
        this.permitIssuer = new PermitIssuer(identity.hostName(), loads.rates(), owners, System::nanoTime);
        this.messages = new PeerMessages(peerSocket, peers);
        this.versions = new SoftwareVersions(this::endpointListAgeMs, System::nanoTime);
        catalogs.onChange(c -> versions.onRoutes(ResumableRoutes.digest(c)));
        this.origins =
                new StreamOrigins(identity.hostName(), ranking, peers::mayBeUp, versions, messages, System::nanoTime);
        this.permits = new SharedPermits(
                identity.hostName(),
                loads.rates(),
                owners,
                permitIssuer,
                messages,
                new SplittableRandom(),
                System::nanoTime);
        this.retries = new FleetRetryShare(
                () -> settings.bounds().retries(),
                peers::fleetSize,
                new SuspensionDetector(System::nanoTime, InstantSource.system()),
                System.nanoTime());
        StoredSuspects storedSuspects =
                new StoredSuspects(identity.hostName(), crashes, crashingParts, peers::hearsMost, System::nanoTime);
        this.store = new StoreView(
                group,
                settings,
                catalogs,
                registry,
                new Evacuations(loads.evacuated(), loads::countIn, log, System::nanoTime),
                contact,
                peers,
                storedSuspects,
                versions,
                metrics,
                log,
                this::reportToPeers);
    }

    /**
     * Starts to serve callers, readiness checks and peers at the addresses in the settings.
     *
     * @param metricsPort port of this host that serves the metrics
     */
    public void start(int metricsPort) {
        ExchangeContext exchanges = exchangeContext();
        new EndpointGauges(loads, System::nanoTime).register(metrics);
        new ExchangeGauges(exchanges).register(metrics);
        metrics.registerGauge("open_requests", frontState::openCalls);
        metrics.registerGauge("caller_connections", frontState::connectionCount);
        metrics.registerGauge("header_memory_bytes", headerBudget::usedBytes);
        metrics.registerGauge("config_version", catalogs::version);
        metrics.registerGauge("config_age_ms", contact::ageMs);
        metrics.registerGauge("services_out_of_reach", paths::lostCount);
        metrics.registerGauge("permits_granted_total", permitIssuer::grantedCount);
        metrics.registerGauge("permits_denied_total", permitIssuer::deniedCount);
        metrics.registerGauge("permit_requests_unanswered_total", permits::unansweredCount);
        metrics.registerGauge("load_sum_age_ms", fleetLoads::ageMs);
        metrics.registerGauge("load_sum_hosts", fleetLoads::includedHosts);
        metrics.registerGauge("load_relay_active", () -> fleetLoads.isActing() ? 1 : 0);
        OpsServer ops = new OpsServer(group, this::isReady, metrics::text, headerBudget);
        ops.listen(identity.readiness());
        ops.listen(new HostAddress(identity.ip(), metricsPort));
        startStoreAndPeers();
        scheduleWithFixedDelay(WARMUP_CHECK_MS, warmups::refresh);
        scheduleWithFixedDelay(PATH_CHECK_MS, paths::check);
        FrontContext front = frontContext(exchanges);
        new FrontServer(group, front.forIncomingRelays()).listen(identity.internal());
        listener = new FrontServer(group, front).listen(identity.callers());
        releaseHeldRequests();
        logStart();
    }

    @SuppressWarnings("FutureReturnValueIgnored") // The loop ends with the process.
    private void releaseHeldRequests() {
        group.next()
                .schedule(
                        () -> {
                            new GuardedTask("release of held requests", startupHold::release, log).run();
                            if (!startupHold.isOver()) {
                                releaseHeldRequests();
                            }
                        },
                        HOLD_CHECK_MS,
                        TimeUnit.MILLISECONDS);
    }

    private boolean canRoute() {
        return catalogs.current().isPresent() && registry.loaded();
    }

    /** Whether requests need not be held any more; a host that cannot read the suspects serves without them. */
    private boolean isPrepared() {
        return canRoute() && store.suspectsRead() && store.othersHeard();
    }

    private void logStart() {
        HostBounds bounds = settings.bounds();
        log.line(LogTopic.START)
                .with("zone", identity.zone())
                .with("callers", identity.callers().toString())
                .with("store", settings.store().toString())
                .with("drainMs", bounds.drainMs())
                .with("configApplyMs", bounds.configApplyMs())
                .with("revokeMs", bounds.revokeMs())
                .with("graceMs", bounds.graceMs())
                .end();
    }

    private long maxKeyAgeNanos() {
        return TimeUnit.MILLISECONDS.toNanos((long) (settings.bounds().revokeMs() * MAX_KEY_AGE_FRACTION));
    }

    private long heartbeatNanos() {
        return TimeUnit.MILLISECONDS.toNanos(settings.bounds().heartbeatMs());
    }

    private long endpointListAgeMs() {
        return store.endpointsAgeMs();
    }

    private void startStoreAndPeers() {
        HostReportFactory reportFactory = new HostReportFactory(
                identity.hostName(), identity.internal(), startedMs, loads, crashes, crashingParts, System::nanoTime);
        ReportRounds rounds = new ReportRounds(peers, reportFactory, fleetLoads, new SplittableRandom());
        LoadExchange loadExchange = new LoadExchange(peerSocket, fleetLoads, log);
        reports = new PeerReports(
                peerSocket, peers, rounds, loadExchange, log, this::acceptCrashes, store::news, store::applyNews);
        reports.listen(identity.internal(), messages.handler(permitIssuer, origins, loadExchange));
        store.start();
    }

    private void acceptCrashes(HostReport report) {
        long now = System.nanoTime();
        crashes.accept(report.crashes(), now);
        crashingParts.accept(report.parts(), now);
    }

    /**
     * Runs a task on the event loop at a fixed delay until the process ends. The task must be short, because requests
     * wait while it runs.
     */
    @SuppressWarnings("FutureReturnValueIgnored") // The loop ends with the process.
    public void scheduleWithFixedDelay(long periodMs, Runnable task) {
        GuardedTask guarded = new GuardedTask("periodic task", task, log);
        group.next().scheduleWithFixedDelay(guarded, periodMs, periodMs, TimeUnit.MILLISECONDS);
    }

    private void reportToPeers() {
        reports.reportNow(store.groupAddresses());
    }

    private EndpointChooser endpointChoice() {
        return switch (policy) {
            case EXPECTED_TIME ->
                new ExpectedTimeChooser(
                        loads,
                        () -> new DispatchSettings(
                                identity.zone(), settings.bounds().capFactor()),
                        new FleetSizeSampler(peers::fleetSize, new SplittableRandom()),
                        new SplittableRandom());
            case ROUND_ROBIN -> new RoundRobinChooser(loads);
            case TWO_CHOICES -> new TwoChoicesChooser(loads, new SplittableRandom());
            case BOUNDED_HASH -> new BoundedHashChooser(loads);
        };
    }

    private ExchangeContext exchangeContext() {
        return new ExchangeContext(
                endpointChoice(),
                loads,
                admission,
                permits,
                origins,
                notices,
                retries,
                crashes,
                crashingParts,
                new ConnectProbe(group, metrics, "after a lost connection", log),
                new SilenceCounts(),
                new RetryAfterDelays(new SplittableRandom()),
                log,
                System::nanoTime);
    }

    private FrontContext frontContext(ExchangeContext exchanges) {
        return new FrontContext(
                catalogs,
                new RequestResolver(catalogs, contact),
                startupHold,
                exchanges,
                pool,
                new RelayContext(
                        paths,
                        new RelayPeers(peers::heardHosts, new Random(), System::nanoTime),
                        peers::addressOf,
                        new RelayClient(group, endpointHeaders, headerBudget),
                        false),
                new CallerHeaders(),
                endpointHeaders,
                headerBudget,
                frontState,
                metrics);
    }

    /**
     * Returns whether the balancer may send new connections: a configuration and the list of endpoints have been read,
     * the other hosts were heard so that keys can be confirmed, and the process is not stopping. Logs each change of the
     * result.
     */
    public boolean isReady() {
        boolean now = canRoute() && store.othersHeard() && !frontState.isStopping();
        if (now != lastLoggedReady) {
            lastLoggedReady = now;
            log.line(LogTopic.READINESS)
                    .with("ready", now)
                    .with("configVersion", catalogs.version())
                    .with("endpoints", registry.all().size())
                    .with("stopping", frontState.isStopping())
                    .end();
        }
        return now;
    }

    /** Returns the time between the signal to stop and the kill, in milliseconds. */
    public long graceMs() {
        return settings.bounds().graceMs();
    }

    /** Runs a {@link GracefulStop}; returns when the process may exit, at once if no caller can have connected. */
    public void stop() throws InterruptedException {
        if (listener == null) {
            return;
        }
        group.next().execute(admission::beginStop);
        new GracefulStop(group.next(), frontState, log, settings.bounds().graceMs(), this::closePort).run();
    }

    private void closePort() {
        listener.close()
                .addListener(closed -> log.line(LogTopic.STOP)
                        .with("outcome", closed.isSuccess() ? "port closed" : "port not closed")
                        .end());
    }

    /** Connections that were open while the paths were lost may be dead without showing it. */
    private final class PathChanges implements EndpointPaths.Listener {
        @Override
        public void onLost(String service) {
            loads.ofService(service).forEach(e -> pool.closeIdle(e.entry().id()));
            loads.onPathsChanged(service);
        }

        @Override
        public void onRegained(String service) {
            loads.onPathsChanged(service);
        }
    }

    private final class EndpointUpdates implements EndpointListener {
        @Override
        public void onAddressTaken(DiscoveredEndpoint former) {
            crashingParts.onAddressTaken(former.instanceKey(), System.nanoTime());
        }

        @Override
        public void onUpdated(DiscoveredEndpoint endpoint) {
            loads.onUpdated(endpoint);
            warmups.onUpdated(endpoint);
            versions.onUpdated(endpoint);
        }

        @Override
        public void onRemoved(DiscoveredEndpoint endpoint) {
            loads.onRemoved(endpoint);
            warmups.onRemoved(endpoint);
            versions.onRemoved(endpoint);
            pool.removeEndpoint(endpoint);
            if (!endpoint.draining()) {
                long now = System.nanoTime();
                crashes.onEndpointEnded(endpoint.instanceKey(), now);
                crashingParts.onEndpointEnded(endpoint.instanceKey(), now);
            }
        }
    }
}
