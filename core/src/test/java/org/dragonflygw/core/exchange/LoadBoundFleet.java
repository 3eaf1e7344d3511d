package org.dragonflygw.core.exchange;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.dragonflygw.core.catalog.CatalogRoute;
import org.dragonflygw.core.catalog.CatalogService;
import org.dragonflygw.core.catalog.RouteKind;
import org.dragonflygw.core.catalog.WeightedService;
import org.dragonflygw.core.discovery.DiscoveredEndpoint;
import org.dragonflygw.core.dispatch.DispatchSettings;
import org.dragonflygw.core.dispatch.ExpectedTimeChooser;
import org.dragonflygw.core.dispatch.LoadReport;
import org.dragonflygw.core.dispatch.Prompt;
import org.dragonflygw.core.dispatch.PromptPart;
import org.dragonflygw.core.lease.SuspensionDetector;
import org.dragonflygw.core.limits.RetryAfterDelays;
import org.dragonflygw.core.log.NoOpEventLog;
import org.dragonflygw.core.peers.HostRanking;
import org.dragonflygw.core.resume.OriginReply;
import org.dragonflygw.core.resume.OriginTransport;
import org.dragonflygw.core.resume.SoftwareVersions;
import org.dragonflygw.core.resume.StoredVersions;
import org.dragonflygw.core.resume.StreamOrigin;
import org.dragonflygw.core.resume.StreamOrigins;
import org.dragonflygw.core.resume.VersionKeeper;
import org.dragonflygw.core.resume.VersionStore;
import org.dragonflygw.core.retry.FleetRetryShare;
import org.dragonflygw.core.settings.RetryBounds;

/**
 * Hosts on virtual time that share the engines of one service while engines come, leave and are replaced by others with
 * newer software, traffic moves and callers leave. Hosts learn of engines with a delay, and of each other's requests by
 * their reports. Engines know their true load, with the work whose callers have left.
 */
final class LoadBoundFleet {
    private static final String SERVICE = "llm";
    private static final CatalogService CATALOG_SERVICE = new CatalogService(SERVICE, "/", 360, 64, 603_857, 18_432);
    private static final CatalogRoute ROUTE = new CatalogRoute(
            "r",
            "h",
            "/p/",
            RouteKind.STREAMING,
            15_000,
            800,
            1,
            List.of(new WeightedService(SERVICE, 1)),
            2,
            false,
            true,
            true,
            400);
    private static final List<String> ZONES = List.of("a", "b", "c");
    private static final int SLOTS = 64;
    private static final double READ_TOKENS_PER_MS = 56.6;
    private static final double STEP_MS = 3.79;
    private static final int TOKENS_PER_EVENT = 5;
    private static final int EVENTS_PER_PART = 10;
    private static final int LINK_MS = 1;

    /** Time for which an engine goes on with work whose caller has left, in milliseconds. */
    private static final int LINGER_MS = 1_500;

    /** Time after an entry was removed in which its engine still serves, in milliseconds. */
    private static final int DRAIN_MS = 2_500;

    /** Time between two reads of the list of engines by the host that reads it for all, in milliseconds. */
    private static final int READ_MS = 600;

    /** Greatest time after which the other hosts know what was read, in milliseconds. */
    private static final int TOLD_MS = 80;

    private static final int CHECK_MS = 200;
    private static final int STORE_MS = 4;

    /** Time after the start of a host in which its requests do not count, in milliseconds. */
    private static final int CONTACT_MS = 3_000;

    /** Three kinds of requests: their rate, prompt and length. */
    private static final List<Kind> KINDS = List.of(
            new Kind(1, 21.3, 10_512, 1_300, 76, 20),
            new Kind(2, 19.5, 699, 130, 58, 20),
            new Kind(3, 27.2, 2_041, 360, 5, 20));

    final LoadLimitCounter counter = new LoadLimitCounter();
    private final SimulatedNetwork network;
    private final Map<String, Engine> engines = new LinkedHashMap<>();

    /** Changes of the list of engines that were not read yet. */
    private final List<Consumer<Host>> unread = new ArrayList<>();

    /** Engines that take requests by the list as it was read last. */
    private final Set<String> readyAsRead = new HashSet<>();

    private final Map<String, Set<String>> rows = new HashMap<>();
    private double load;
    private double hotShare;
    private double movedShare;
    private double leavingShare;
    private int nextEngine;
    private int version = 1;
    private long requests;
    private long rejected;
    private long served;

    private record Kind(int number, double perSecond, int shared, int own, int events, int subjects) {}

    /**
     * Creates a fleet.
     *
     * @param load rate of requests as a multiple of the usual one
     */
    LoadBoundFleet(int hostCount, int engineCount, double load, long seed) {
        network = new SimulatedNetwork(seed);
        this.load = load;
        for (int i = 0; i < engineCount; i++) {
            addEngine();
        }
        for (int i = 0; i < hostCount; i++) {
            network.hosts().add(new Host(i));
        }
        network.hosts().forEach(SimulatedHost::learnPeers);
        readList();
        KINDS.forEach(this::arrive);
    }

    private void readList() {
        List<Consumer<Host>> changes = List.copyOf(unread);
        unread.clear();
        readyAsRead.clear();
        ready().forEach(e -> readyAsRead.add(e.entry.id()));
        for (SimulatedHost h : network.hosts()) {
            network.after(network.random.nextInt(TOLD_MS), () -> changes.forEach(c -> c.accept((Host) h)));
        }
        network.after(READ_MS, this::readList);
    }

    /** Runs without changes. */
    LoadBoundFleet run(long millis) {
        network.run(millis);
        return this;
    }

    /** Runs with random changes, a second apart on average. */
    LoadBoundFleet runWithChanges(long millis) {
        long until = network.nowMs() + millis;
        while (network.nowMs() < until) {
            run((long) (-Math.log(1 - network.random.nextDouble()) * 1_000));
            change();
        }
        return this;
    }

    private void change() {
        switch (network.random.nextInt(10)) {
            case 0, 1 -> release(network.random.nextBoolean() ? 0.9 : 0.4, 1 + network.random.nextInt(6), 300, true);
            case 2 -> release(0.5, 3, 300, false);
            case 3 -> scaleOut(network.random.nextBoolean() ? 0.8 : 0.3);
            case 4 -> scaleIn(network.random.nextBoolean() ? 0.4 : 0.2);
            case 5 -> hotShare = network.random.nextBoolean() ? 0.6 : 0;
            case 6 -> movedShare = network.random.nextBoolean() ? 0.6 : 0;
            case 7 -> leavingShare = network.random.nextBoolean() ? 0.4 : 0;
            case 8 -> load = 1 + 2 * network.random.nextDouble();
            default -> restart(network.random.nextInt(network.hosts().size()));
        }
    }

    /** Replaces a share of the engines, some at a time. */
    LoadBoundFleet release(double share, int atOnce, int gapMs, boolean newer) {
        version += newer ? 1 : 0;
        List<Engine> old = ready();
        int count = (int) Math.ceil(share * old.size());
        for (int i = 0; i < count; i++) {
            Engine e = old.get(i);
            network.after((long) (i / atOnce) * gapMs, () -> {
                addEngine();
                e.drain();
            });
        }
        return this;
    }

    private void scaleOut(double share) {
        int count = (int) Math.ceil(share * ready().size());
        for (int i = 0; i < count && ready().size() < 30; i++) {
            addEngine();
        }
    }

    private void scaleIn(double share) {
        List<Engine> all = ready();
        int count = (int) Math.ceil(share * all.size());
        for (int i = 0; i < count && ready().size() > 8; i++) {
            all.get(i).drain();
        }
    }

    /** Ends the process of a host, with its requests, and starts a new one. */
    private void restart(int number) {
        Host old = (Host) network.hosts().get(number);
        old.alive = false;
        old.calls.forEach(c -> c.sent.forEach(Sent::cancel));
        Host started = new Host(number);
        network.hosts().set(number, started);
        started.learnPeers();
    }

    private void addEngine() {
        Engine e = new Engine("i-" + nextEngine++, ZONES.get(nextEngine % ZONES.size()), "v" + version);
        engines.put(e.entry.id(), e);
        DiscoveredEndpoint added = e.entry;
        unread.add(h -> h.onListed(added));
    }

    private List<Engine> ready() {
        return engines.values().stream().filter(e -> !e.entry.draining()).toList();
    }

    private double meanLoadWith(Engine chosen) {
        Set<Engine> counted = new HashSet<>();
        readyAsRead.stream().filter(engines::containsKey).forEach(id -> counted.add(engines.get(id)));
        counted.add(chosen);
        return counted.stream().mapToInt(e -> e.holding).average().orElse(0);
    }

    /** Returns the share of the requests that were refused. */
    double rejectedShare() {
        return rejected / (double) Math.max(1, requests);
    }

    /** Returns the share of the requests whose streams ended whole. */
    double servedShare() {
        return served / (double) Math.max(1, requests);
    }

    private void arrive(Kind kind) {
        double perMs = kind.perSecond * load / 1_000;
        network.after(Math.max(1, Math.round(-Math.log(1 - network.random.nextDouble()) / perMs)), () -> {
            Collection<SimulatedHost> all = network.hosts();
            boolean moved = network.random.nextDouble() < movedShare;
            Host host = (Host) network.hosts()
                    .get(network.random.nextInt(moved ? Math.max(1, all.size() / 3) : all.size()));
            requests++;
            new Call(host, kind).start();
            arrive(kind);
        });
    }

    private final class Engine {
        private final Set<Long> cached = new HashSet<>();
        private DiscoveredEndpoint entry;
        private int holding;
        private double readUntilMs;

        Engine(String id, String zone, String softwareVersion) {
            entry = new DiscoveredEndpoint(id, SERVICE, "10.0.0.1", 80, zone, SLOTS, false, 0, 1, softwareVersion);
        }

        void drain() {
            if (entry.draining()) {
                return;
            }
            entry = new DiscoveredEndpoint(
                    entry.id(), SERVICE, "10.0.0.1", 80, entry.zone(), SLOTS, true, 0, 1, entry.version());
            DiscoveredEndpoint drained = entry;
            unread.add(h -> h.onListed(drained));
            network.after(DRAIN_MS, () -> {
                engines.remove(drained.id());
                unread.add(h -> h.onRemoved(drained));
            });
        }

        /** Begins with a request, which ends when it is done or a while after its caller has left. */
        void receive(Sent sent) {
            Call call = sent.call;
            if (call.host.countsFromMs <= network.nowMs()) {
                counter.onArrival(network.nowMs(), holding, meanLoadWith(this));
            }
            holding++;
            sent.work = new Work(this);
            double readMs = call.prompt.parts().stream()
                            .filter(p -> cached.add(p.id()))
                            .mapToInt(PromptPart::tokens)
                            .sum()
                    / READ_TOKENS_PER_MS;
            double nowMs = network.nowMs();
            readUntilMs = Math.max(readUntilMs, nowMs) + readMs;
            double eventMs = TOKENS_PER_EVENT * STEP_MS * (1 + holding / (double) SLOTS);
            double firstMs = readUntilMs - nowMs + eventMs + LINK_MS;
            int parts = (call.kind.events + EVENTS_PER_PART - 1) / EVENTS_PER_PART;
            for (int i = 0; i < parts; i++) {
                int number = i + 1;
                network.after((long) (firstMs + i * EVENTS_PER_PART * eventMs), () -> sent.part(number));
            }
            network.after((long) (firstMs + call.kind.events * eventMs), () -> {
                sent.work.end();
                sent.complete();
            });
        }

        ResponseHead head() {
            LoadReport report = new LoadReport(Math.min(holding, SLOTS), Math.max(0, holding - SLOTS), SLOTS);
            return new ResponseHead(
                    200, true, false, false, -1, false, Optional.of(report), EndpointNotice.NONE, List.of());
        }
    }

    /** A request at an engine. */
    private static final class Work {
        private final Engine engine;
        private boolean ended;

        Work(Engine engine) {
            this.engine = engine;
        }

        void end() {
            engine.holding -= ended ? 0 : 1;
            ended = true;
        }
    }

    private final class Host extends SimulatedHost implements OriginTransport, VersionStore {
        private final ExchangeContext context;
        private final SoftwareVersions versions = new SoftwareVersions(() -> 0, network.clock);
        private final VersionKeeper keeper;
        private final String zone;
        private final long countsFromMs;
        private final List<Call> calls = new ArrayList<>();

        Host(int number) {
            super("h" + number, network);
            zone = ZONES.get(number % ZONES.size());
            countsFromMs = network.nowMs() + (network.nowMs() == 0 ? 0 : CONTACT_MS);
            SplittableRandom random = network.random.split();
            StreamOrigins origins = new StreamOrigins(
                    name,
                    new HostRanking(name, peers::rankedHosts, network.clock),
                    peers::mayBeUp,
                    versions,
                    this,
                    network.clock);
            keeper = new VersionKeeper(versions, () -> number == 0, this, network.clock, random.split());
            engines.values().forEach(e -> onListed(e.entry));
            context = context(origins, random);
            check();
        }

        private ExchangeContext context(StreamOrigins origins, SplittableRandom random) {
            long windowNanos = TimeUnit.SECONDS.toNanos(10);
            return new ExchangeContext(
                    new ExpectedTimeChooser(loads, () -> new DispatchSettings(zone, 2), (all, now) -> all, random),
                    loads,
                    ExchangeFixture.noAdmission(loads, network.clock),
                    ExchangeFixture.PERMITS,
                    origins,
                    new EndpointNotices(loads, new NoOpEventLog(), network.clock),
                    new FleetRetryShare(
                            () -> new RetryBounds(1, 1_000, windowNanos),
                            () -> OptionalInt.of(1),
                            new SuspensionDetector(network.clock, network.clock),
                            network.clock.nanos() - windowNanos),
                    crashes,
                    parts,
                    EndpointProbe.NONE,
                    new SilenceCounts(),
                    new RetryAfterDelays(random.split()),
                    new NoOpEventLog(),
                    network.clock);
        }

        private void check() {
            if (alive) {
                keeper.check();
                network.after(CHECK_MS, this::check);
            }
        }

        void onListed(DiscoveredEndpoint endpoint) {
            loads.onUpdated(endpoint);
            versions.onUpdated(endpoint);
        }

        void onRemoved(DiscoveredEndpoint endpoint) {
            loads.onRemoved(endpoint);
            versions.onRemoved(endpoint);
        }

        @Override
        public void tell(List<String> hosts, String attempt, StreamOrigin origin) {}

        @Override
        public void ask(String host, String attempt, String service, Consumer<Optional<OriginReply>> listener) {}

        @Override
        public void read(Consumer<Optional<StoredVersions>> listener) {
            afterCall(() -> listener.accept(Optional.of(new StoredVersions(1, rows))));
        }

        @Override
        public void write(String key, Set<String> named, Consumer<Boolean> listener) {
            afterCall(() -> {
                rows.put(key, Set.copyOf(named));
                listener.accept(true);
            });
        }

        private void afterCall(Runnable answered) {
            network.after(STORE_MS, () -> {
                if (alive) {
                    answered.run();
                }
            });
        }
    }

    /** One request of a caller at a host. */
    private final class Call implements ExchangeOutput {
        private final Host host;
        private final Kind kind;
        private final Exchange exchange;
        private final Prompt prompt;
        private final List<Sent> sent = new ArrayList<>();
        private boolean ended;
        private long wakeNanos;

        Call(Host host, Kind kind) {
            this.host = host;
            this.kind = kind;
            int subject = hotShare > network.random.nextDouble() ? 0 : network.random.nextInt(kind.subjects);
            prompt = new Prompt(
                    List.of(
                            new PromptPart(kind.number * 1_000L + subject, kind.shared),
                            new PromptPart(network.random.nextLong(), kind.own)),
                    kind.shared + kind.own,
                    kind.events * TOKENS_PER_EVENT);
            ExchangeRequest request = new ExchangeRequest(
                    "r" + requests,
                    "team",
                    ROUTE,
                    CATALOG_SERVICE,
                    1,
                    Optional.empty(),
                    prompt,
                    network.clock.nanos(),
                    15_000,
                    requests);
            exchange = new Exchange(request, host.context, this);
        }

        void start() {
            host.calls.add(this);
            exchange.start();
            if (!ended && network.random.nextDouble() < leavingShare) {
                network.after(network.random.nextInt(20, 800), this::leave);
            }
        }

        private void leave() {
            if (!ended && host.alive) {
                exchange.onCallerDisconnected();
                end();
            }
        }

        private void end() {
            ended = true;
            host.calls.remove(this);
        }

        @Override
        public Attempt send(Dispatch dispatch, AttemptListener listener) {
            Sent attempt = new Sent(this, listener);
            sent.add(attempt);
            Engine engine = engines.get(dispatch.endpoint().id());
            if (engine == null) {
                network.after(LINK_MS, () -> attempt.fail(AttemptFailure.CONNECT_REFUSED));
            } else {
                engine.receive(attempt);
            }
            return attempt;
        }

        @Override
        public void forwardHead(ResponseHead head) {}

        @Override
        public void forwardBody(byte[] body) {}

        @Override
        public void finish() {
            served++;
            end();
        }

        @Override
        public void abort() {
            end();
        }

        @Override
        public void reject(Rejection rejection) {
            rejected++;
            end();
        }

        @Override
        public void wakeAt(long nanos) {
            wakeNanos = nanos;
            network.after(Math.max(0, (nanos - network.clock.nanos()) / 1_000_000 + 1), () -> {
                if (host.alive && !ended && wakeNanos == nanos) {
                    exchange.onTimer();
                }
            });
        }
    }

    /** An attempt of a call at an engine, which goes on with it for a while after it is cancelled. */
    private final class Sent extends SimulatedAttempt {
        private final Call call;
        private Work work;
        private boolean begun;

        Sent(Call call, AttemptListener listener) {
            super(listener);
            this.call = call;
        }

        @Override
        boolean isOpen() {
            return super.isOpen() && call.host.alive && !call.ended;
        }

        private void part(int number) {
            if (isOpen() && !begun) {
                begun = true;
                head(work.engine.head());
            }
            body(("id: " + number + "\ndata: x\n\n").getBytes(StandardCharsets.UTF_8));
        }

        @Override
        public boolean cancel() {
            if (work != null) {
                network.after(LINGER_MS, work::end);
            }
            return super.cancel();
        }
    }

    /** Prints figures of runs with random changes; arguments: first seed, number of runs, seconds of each. */
    public static void main(String[] args) {
        long first = Long.parseLong(args[0]);
        for (long seed = first; seed < first + Long.parseLong(args[1]); seed++) {
            LoadBoundFleet f = new LoadBoundFleet(6, 13, 3, seed).runWithChanges(Long.parseLong(args[2]) * 1_000);
            System.out.printf(
                    "%d broken %b largest share %.4f most in a window %d of all %.4f rejected %.4f served %.4f%n",
                    seed,
                    f.counter.isBroken(),
                    f.counter.largestShare(),
                    f.counter.mostInWindow(),
                    f.counter.share(),
                    f.rejectedShare(),
                    f.servedShare());
        }
    }
}
