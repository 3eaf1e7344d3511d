package org.dragonflygw.core.exchange;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.dragonflygw.core.ManualMonotonicClock;
import org.dragonflygw.core.admission.Admission;
import org.dragonflygw.core.admission.FleetShare;
import org.dragonflygw.core.catalog.CatalogRoute;
import org.dragonflygw.core.catalog.CatalogService;
import org.dragonflygw.core.catalog.RouteKind;
import org.dragonflygw.core.catalog.WeightedService;
import org.dragonflygw.core.crash.CrashSuspects;
import org.dragonflygw.core.crash.CrashingParts;
import org.dragonflygw.core.discovery.DiscoveredEndpoint;
import org.dragonflygw.core.dispatch.DispatchSettings;
import org.dragonflygw.core.dispatch.EndpointLoads;
import org.dragonflygw.core.dispatch.ExpectedTimeChooser;
import org.dragonflygw.core.dispatch.Prompt;
import org.dragonflygw.core.dispatch.ServiceRoom;
import org.dragonflygw.core.lease.SuspensionDetector;
import org.dragonflygw.core.limits.RetryAfterDelays;
import org.dragonflygw.core.log.NoOpEventLog;
import org.dragonflygw.core.peers.HostRanking;
import org.dragonflygw.core.ratelimit.EndpointPermits;
import org.dragonflygw.core.ratelimit.PermitDecision;
import org.dragonflygw.core.resume.OriginReply;
import org.dragonflygw.core.resume.OriginTransport;
import org.dragonflygw.core.resume.SoftwareVersions;
import org.dragonflygw.core.resume.StreamOrigin;
import org.dragonflygw.core.resume.StreamOrigins;
import org.dragonflygw.core.retry.FleetRetryShare;
import org.dragonflygw.core.settings.RetryBounds;

/** Starts exchanges with three endpoints and a manual clock, and records all actions of the exchange. */
final class ExchangeFixture {
    static final String SERVICE = "app";
    /** Grants each permit at once. */
    static final EndpointPermits PERMITS =
            (endpoint, listener) -> listener.accept(new PermitDecision(true, "", 0, Double.POSITIVE_INFINITY));

    private static final OriginTransport NO_PEERS = new OriginTransport() {
        @Override
        public void tell(List<String> hosts, String attempt, StreamOrigin origin) {}

        @Override
        public void ask(String host, String attempt, String service, Consumer<Optional<OriginReply>> listener) {}
    };

    private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(10);

    final ManualMonotonicClock clock = new ManualMonotonicClock();
    final EndpointLoads loads = new EndpointLoads();
    final List<Dispatch> sent = new ArrayList<>();
    final List<Rejection> rejections = new ArrayList<>();
    final StringBuilder body = new StringBuilder();
    ResponseHead head;
    int cancelled;
    boolean finished;
    boolean aborted;
    long wakeNanos;

    final CrashSuspects crashes = new CrashSuspects(new NoOpEventLog());
    final CrashingParts crashingParts = new CrashingParts(new NoOpEventLog());

    /** Fingerprint of the requests that are started; 0 for one of its own for each. */
    long fingerprint;

    Admission admission = noAdmission(loads, clock);
    EndpointPermits permits = PERMITS;
    final SoftwareVersions versions = new SoftwareVersions(() -> -1, clock);
    final StreamOrigins origins = lonelyOrigins(versions, clock);

    /** Stream that the requests take up which are started. */
    Optional<Resumption> resumption = Optional.empty();

    private long startedRequests;
    private final RetryAfterDelays retryAfterDelays = new RetryAfterDelays(new SplittableRandom(1));
    final FleetRetryShare retries;

    ExchangeFixture() {
        this(10);
    }

    ExchangeFixture(double retrySlack) {
        retries = new FleetRetryShare(
                () -> new RetryBounds(0.2, retrySlack, WINDOW_NANOS),
                () -> OptionalInt.of(1),
                new SuspensionDetector(clock, clock),
                clock.nanos() - WINDOW_NANOS);
        for (int i = 1; i <= 3; i++) {
            loads.onUpdated(endpoint("e" + i));
        }
    }

    static DiscoveredEndpoint endpoint(String id) {
        return new DiscoveredEndpoint(id, SERVICE, "10.0.0.1", 80, "a", 4, false, 0, 1, "v1");
    }

    static CatalogRoute route(RouteKind kind, boolean resumable) {
        return new CatalogRoute(
                "r",
                "h",
                "/p/",
                kind,
                2_000,
                100,
                1,
                List.of(new WeightedService(SERVICE, 1)),
                2,
                false,
                false,
                resumable,
                400);
    }

    StartedExchange start(CatalogRoute route) {
        return start(route, 1_500);
    }

    StartedExchange start(CatalogRoute route, long deadlineMs) {
        CatalogService service = new CatalogService(SERVICE, "/", 100, 4, 0, 0);
        ExchangeRequest request = new ExchangeRequest(
                "id",
                "team",
                route,
                service,
                1,
                resumption,
                Prompt.NONE,
                clock.nanos(),
                deadlineMs,
                fingerprint == 0 ? --startedRequests : fingerprint);
        ExpectedTimeChooser chooser =
                new ExpectedTimeChooser(loads, () -> new DispatchSettings("a", 2), (all, now) -> all);
        EndpointNotices notices = new EndpointNotices(loads, new NoOpEventLog(), clock);
        ExchangeContext context = new ExchangeContext(
                chooser,
                loads,
                admission,
                permits,
                origins,
                notices,
                retries,
                crashes,
                crashingParts,
                EndpointProbe.NONE,
                new SilenceCounts(),
                retryAfterDelays,
                new NoOpEventLog(),
                clock);
        return new StartedExchange(this, request, context);
    }

    /** A route for streams that may not be resumed. */
    static CatalogRoute streamingRoute() {
        return new CatalogRoute(
                "stream",
                "h",
                "/p/",
                RouteKind.STREAMING,
                15_000,
                800,
                1,
                List.of(new WeightedService("llm", 1)),
                2,
                false,
                true,
                false,
                400);
    }

    /** Refuses at once what finds no room. */
    static Admission noAdmission(EndpointLoads loads, ManualMonotonicClock clock) {
        return admission(() -> false, loads, clock);
    }

    /** Lets requests wait on a host without peers. */
    static Admission admission(BooleanSupplier enabled, EndpointLoads loads, ManualMonotonicClock clock) {
        return new Admission(
                enabled,
                new ServiceRoom(loads),
                new FleetShare(() -> OptionalInt.of(1)),
                new SplittableRandom(1),
                new NoOpEventLog(),
                clock,
                clock);
    }

    /** What a host without peers knows of the beginnings of streams. */
    static StreamOrigins lonelyOrigins(ManualMonotonicClock clock) {
        return lonelyOrigins(new SoftwareVersions(() -> -1, clock), clock);
    }

    private static StreamOrigins lonelyOrigins(SoftwareVersions versions, ManualMonotonicClock clock) {
        return new StreamOrigins(
                "self", new HostRanking("self", Set::of, clock), h -> false, versions, NO_PEERS, clock);
    }

    /** The objects that the exchanges of one host of a simulated fleet share; retries are plentiful. */
    static ExchangeContext context(
            EndpointLoads loads,
            CrashSuspects crashes,
            CrashingParts crashingParts,
            EndpointProbe probe,
            ManualMonotonicClock clock) {
        return context(
                loads,
                PERMITS,
                lonelyOrigins(new SoftwareVersions(() -> -1, clock), clock),
                crashes,
                crashingParts,
                probe,
                clock);
    }

    static ExchangeContext context(
            EndpointLoads loads,
            EndpointPermits permits,
            StreamOrigins origins,
            CrashSuspects crashes,
            CrashingParts crashingParts,
            EndpointProbe probe,
            ManualMonotonicClock clock) {
        return context(loads, (e, leftMs) -> {}, permits, origins, crashes, crashingParts, probe, clock);
    }

    static ExchangeContext context(
            EndpointLoads loads,
            EndpointNotices.ColdListener coldListener,
            EndpointPermits permits,
            StreamOrigins origins,
            CrashSuspects crashes,
            CrashingParts crashingParts,
            EndpointProbe probe,
            ManualMonotonicClock clock) {
        FleetRetryShare retries = new FleetRetryShare(
                () -> new RetryBounds(1, 1_000, WINDOW_NANOS),
                () -> OptionalInt.of(1),
                new SuspensionDetector(clock, clock),
                clock.nanos() - WINDOW_NANOS);
        return new ExchangeContext(
                new ExpectedTimeChooser(loads, () -> new DispatchSettings("a", 2), (all, now) -> all),
                loads,
                noAdmission(loads, clock),
                permits,
                origins,
                new EndpointNotices(loads, coldListener, RejectionPauses.ofOneHost(), new NoOpEventLog(), clock),
                retries,
                crashes,
                crashingParts,
                probe,
                new SilenceCounts(),
                new RetryAfterDelays(new SplittableRandom(1)),
                new NoOpEventLog(),
                clock);
    }

    static ResponseHead signedHead(int status) {
        return new ResponseHead(
                status, true, false, false, -1, false, Optional.empty(), EndpointNotice.NONE, List.of());
    }

    static ResponseHead unsignedHead(int status) {
        return new ResponseHead(
                status, false, false, false, -1, false, Optional.empty(), EndpointNotice.NONE, List.of());
    }

    static ResponseHead notExecutedHead(int status) {
        return new ResponseHead(
                status, false, true, false, -1, false, Optional.empty(), EndpointNotice.NONE, List.of());
    }

    static ResponseHead headWithNotice(int status, boolean notExecuted, EndpointNotice notice) {
        return new ResponseHead(status, true, notExecuted, false, -1, false, Optional.empty(), notice, List.of());
    }

    int totalInFlight() {
        return loads.all().stream().mapToInt(e -> e.inFlight()).sum();
    }

    boolean ended() {
        return finished || aborted || !rejections.isEmpty();
    }

    /** Records that an attempt is sent; returns what it is cancelled by. */
    Attempt send(Dispatch dispatch) {
        sent.add(dispatch);
        return new Attempt() {
            @Override
            public boolean cancel() {
                cancelled++;
                return true;
            }

            @Override
            public void setAutoRead(boolean enabled) {}
        };
    }

    /** Records a part of the response that the caller gets. */
    void onForwarded(byte[] bytes) {
        body.append(new String(bytes, StandardCharsets.UTF_8));
    }
}
