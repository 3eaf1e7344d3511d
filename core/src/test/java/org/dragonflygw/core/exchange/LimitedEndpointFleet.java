package org.dragonflygw.core.exchange;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import org.dragonflygw.core.catalog.CallerLimits;
import org.dragonflygw.core.catalog.Catalog;
import org.dragonflygw.core.catalog.CatalogService;
import org.dragonflygw.core.catalog.RouteKind;
import org.dragonflygw.core.discovery.DiscoveredEndpoint;
import org.dragonflygw.core.dispatch.Prompt;
import org.dragonflygw.core.dispatch.PromptPart;
import org.dragonflygw.core.log.NoOpEventLog;
import org.dragonflygw.core.peers.HostRanking;
import org.dragonflygw.core.ratelimit.PermitIssuer;
import org.dragonflygw.core.ratelimit.PermitOwners;
import org.dragonflygw.core.ratelimit.PermitReply;
import org.dragonflygw.core.ratelimit.PermitRequest;
import org.dragonflygw.core.ratelimit.RateNotice;
import org.dragonflygw.core.ratelimit.SharedPermits;
import org.dragonflygw.core.warmup.WarmupTracker;

/**
 * Hosts on virtual time in front of simulated engines that name limits in their responses. Callers come at random times,
 * unevenly over the hosts; hosts send each other reports. Records what reaches each engine.
 */
final class LimitedEndpointFleet {
    /** Time after an engine first named a limit from which the limit must be kept, in milliseconds. */
    static final int CONTACT_MS = 3_000;

    /** Length of the windows in which arrivals are counted, in milliseconds. */
    static final int WINDOW_MS = 4_000;

    /** Time for which an engine is cold, in milliseconds. */
    static final long WARMUP_MS = 10_000;

    /** Requests per second that a cold engine tolerates. */
    static final double WARMUP_PER_SECOND = 4;

    private static final CatalogService SERVICE = service(WARMUP_PER_SECOND);
    private static final long WALL_CLOCK_START_MS = 1_788_000_000_000L;
    private static final int MANY_SLOTS = 64;
    private static final int HEARTBEAT_MS = 1_200;
    private static final int REPLY_TIMEOUT_MS = 50;
    private static final int HEAD_MS = 40;
    private static final int BODY_PAUSE_MS = 50;
    private static final int WORK_MS = 1_200;
    private static final int DEADLINE_MS = 15_000;
    private static final int SUBJECTS = 40;

    private final int slots;
    private Catalog catalog = catalog(SERVICE);
    private final SimulatedNetwork network;
    private final List<Engine> engines = new ArrayList<>();
    private final EngineArrivals arrivals = new EngineArrivals();
    private final RandomCallers callers;
    private int messages;
    private long nextFingerprint = 1;
    private int completed;
    private final List<Refusal> refusals = new ArrayList<>();

    /** One request that a host refused, with the time since its arrival. */
    record Refusal(Rejection rejection, long afterMs) {}

    LimitedEndpointFleet(int hostCount, int engineCount, long seed) {
        this(hostCount, engineCount, MANY_SLOTS, seed);
    }

    LimitedEndpointFleet(int hostCount, int engineCount, int slots, long seed) {
        this.slots = slots;
        network = new SimulatedNetwork(seed);
        callers = new RandomCallers(network);
        for (int i = 0; i < engineCount; i++) {
            engines.add(new Engine(i, 1));
        }
        for (int i = 0; i < hostCount; i++) {
            network.hosts().add(new Host("h" + i));
            callers.addUneven();
        }
        network.hosts().forEach(SimulatedHost::learnPeers);
    }

    /** Sets the notice in the responses of some engines, by the time in milliseconds. */
    LimitedEndpointFleet limit(int firstEngine, int endEngine, LongFunction<RateNotice> noticeAt) {
        engines.subList(firstEngine, endEngine).forEach(e -> e.noticeAt = noticeAt);
        return this;
    }

    private static CatalogService service(double warmupPerSecond) {
        return new CatalogService("app", "/", 100, 64, 300_000, 0, WARMUP_MS, warmupPerSecond);
    }

    private static Catalog catalog(CatalogService service) {
        return new Catalog(1, CallerLimits.DEFAULT, List.of(), List.of(service), Optional.empty());
    }

    /** Sets the requests per second that cold engines tolerate. */
    LimitedEndpointFleet tolerated(double perSecond) {
        catalog = catalog(service(perSecond));
        return this;
    }

    LimitedEndpointFleet messageLoss(double ratio) {
        network.messageLoss(ratio);
        return this;
    }

    /** Runs with callers that come at a mean rate. */
    void run(long millis, double requestsPerSecond) {
        callers.schedule(millis, requestsPerSecond, n -> host(n).receive());
        network.run(millis);
    }

    private Host host(int number) {
        return (Host) network.hosts().get(number);
    }

    /** Returns how many messages hosts sent to ask for permits. */
    int messages() {
        return messages;
    }

    long nowMs() {
        return network.nowMs();
    }

    int completed() {
        return completed;
    }

    List<Refusal> refusals() {
        return List.copyOf(refusals);
    }

    /** Ends the process of a host and starts a new one, which knows only the list of hosts. */
    void restart(int host) {
        Host old = host(host);
        old.alive = false;
        Host fresh = new Host(old.name);
        fresh.side = old.side;
        network.hosts().set(host, fresh);
        fresh.learnPeers();
    }

    /** Starts a host that the others learn of by its reports. */
    void add() {
        Host host = new Host("h" + network.hosts().size());
        network.hosts().add(host);
        callers.addMean();
        host.learnPeers();
    }

    /** Lets all hosts read the list of hosts again. */
    void listAgain() {
        network.hosts().forEach(SimulatedHost::learnPeers);
    }

    /** Cuts a host off from all other hosts, or ends the cut. */
    void cutOff(int host, boolean cut) {
        host(host).cutOff = cut;
    }

    /** Cuts the network in two, with the given number of hosts on one side; ends the cut with none. */
    void cutInTwo(int onOneSide) {
        for (int i = 0; i < network.hosts().size(); i++) {
            host(i).side = i < onOneSide ? 1 : 0;
        }
    }

    /** Stops all messages of a host and to it, for good. */
    void lose(int host) {
        host(host).alive = false;
        callers.remove(host);
    }

    /** Returns how many requests reached an engine in a period. */
    long arrivals(int engine, long fromMs, long untilMs) {
        return arrivals.count(engine, fromMs, untilMs);
    }

    /** Returns the most requests that reached an engine in any window from a time on, from all hosts. */
    int mostInWindow(int engine, long fromMs) {
        return mostInWindow(engine, WINDOW_MS, fromMs, nowMs());
    }

    /** Returns the most requests that reached an engine in any window of a length within a period, from all hosts. */
    int mostInWindow(int engine, long windowMs, long fromMs, long untilMs) {
        return arrivals.mostInWindow(engine, windowMs, fromMs, untilMs);
    }

    /**
     * Starts engines that are cold.
     *
     * @param inEntry whether their entries say so
     * @param lateMs time within which each host reads an entry
     * @return number of the first one
     */
    int startCold(int count, boolean inEntry, long lateMs) {
        int first = engines.size();
        for (int i = 0; i < count; i++) {
            Engine e = new Engine(engines.size(), WALL_CLOCK_START_MS + nowMs());
            engines.add(e);
            e.becomeCold(inEntry, lateMs);
        }
        return first;
    }

    /** Makes all running engines cold at once. */
    void makeAllCold(long lateMs) {
        engines.forEach(e -> e.becomeCold(true, lateMs));
    }

    /** Makes a running engine cold. Its responses say so if it is not in its entry. */
    void makeCold(int engine, boolean inEntry, long lateMs) {
        engines.get(engine).responsesSayCold = !inEntry;
        engines.get(engine).becomeCold(inEntry, lateMs);
    }

    /** Returns the number of engines that a host takes for cold. */
    long coldCount(int host) {
        return host(host).loads.rates().coldCount();
    }

    private final class Engine {
        private final int number;
        private final long startedMs;
        private LongFunction<RateNotice> noticeAt = t -> RateNotice.UNLIMITED;
        private long coldUntilMs;
        private boolean inEntry;
        private boolean responsesSayCold;

        Engine(int number, long startedMs) {
            this.number = number;
            this.startedMs = startedMs;
        }

        DiscoveredEndpoint entry() {
            long left = inEntry ? Math.max(0, coldUntilMs - nowMs()) : 0;
            return new DiscoveredEndpoint(
                    "i-" + number, "app", "10.0.0.1", 80, "a", slots, false, left, startedMs, "v1");
        }

        void becomeCold(boolean saysSo, long lateMs) {
            coldUntilMs = nowMs() + WARMUP_MS;
            inEntry = saysSo;
            publish(lateMs);
        }

        /** Writes the entry now and with each heartbeat, until it is warm; each host reads it a little later. */
        private void publish(long lateMs) {
            DiscoveredEndpoint written = entry();
            for (int i = 0; i < network.hosts().size(); i++) {
                Host host = host(i);
                network.after(network.random.nextLong(lateMs + 1), () -> host.read(written));
            }
            if (inEntry && written.warmupLeftMs() > 0) {
                network.after(HEARTBEAT_MS, () -> publish(lateMs));
            }
        }

        void receive(SimulatedAttempt sent) {
            arrivals.add(number, nowMs());
            network.after(HEAD_MS, () -> sent.head(head()));
            for (int ms = HEAD_MS; ms < WORK_MS; ms += BODY_PAUSE_MS) {
                network.after(ms, () -> sent.body(new byte[] {1}));
            }
            network.after(WORK_MS, sent::complete);
        }

        private ResponseHead head() {
            EndpointNotice notice = new EndpointNotice(
                    false,
                    0,
                    noticeAt.apply(nowMs()),
                    responsesSayCold ? Math.max(0, coldUntilMs - nowMs()) : 0,
                    EndpointNotice.STURDY);
            return new ResponseHead(200, true, false, false, -1, false, Optional.empty(), notice, List.of());
        }
    }

    private final class Host extends SimulatedHost {
        private final ExchangeContext context;
        private final PermitIssuer issuer;
        private final WarmupTracker warmups;
        private boolean listed;

        Host(String name) {
            super(name, network);
            this.warmups = new WarmupTracker(
                    loads.rates(),
                    () -> Optional.of(catalog),
                    () -> listed,
                    network.clock,
                    () -> Instant.ofEpochMilli(WALL_CLOCK_START_MS + nowMs()),
                    new NoOpEventLog());
            engines.forEach(e -> read(e.entry()));
            listed = true;
            PermitOwners owners = new PermitOwners(
                    name, new HostRanking(name, peers::rankedHosts, network.clock), peers::isListed, peers::mayBeUp);
            this.issuer = new PermitIssuer(name, loads.rates(), owners, network.clock);
            SharedPermits permits = new SharedPermits(
                    name, loads.rates(), owners, issuer, this::ask, network.random.split(), network.clock);
            this.context = ExchangeFixture.context(
                    loads,
                    warmups::onResponse,
                    permits,
                    ExchangeFixture.lonelyOrigins(network.clock),
                    crashes,
                    parts,
                    EndpointProbe.NONE,
                    network.clock);
        }

        void read(DiscoveredEndpoint entry) {
            if (alive) {
                loads.onUpdated(entry);
                warmups.onUpdated(entry);
            }
        }

        @Override
        void report() {
            warmups.refresh();
            super.report();
        }

        /** Asks another host for a permit; either message may be lost. */
        private void ask(String host, PermitRequest request, Consumer<Optional<PermitReply>> listener) {
            messages++;
            network.ask(
                    this, host, () -> ((Host) network.named(host)).issuer.issue(request), REPLY_TIMEOUT_MS, listener);
        }

        void receive() {
            if (alive) {
                new Call(this).exchange.start();
            }
        }
    }

    private final class Call implements ExchangeOutput {
        private final Host host;
        private final Exchange exchange;
        private final long startedMs = nowMs();
        private long wakeNanos;

        Call(Host host) {
            this.host = host;
            long subject = network.random.nextInt(SUBJECTS);
            Prompt prompt = new Prompt(
                    List.of(new PromptPart(subject + 1, 800), new PromptPart(1_000_000 + nextFingerprint, 100)),
                    900,
                    50);
            ExchangeRequest request = new ExchangeRequest(
                    "id",
                    "team",
                    ExchangeFixture.route(RouteKind.IDEMPOTENT, false),
                    SERVICE,
                    1,
                    Optional.empty(),
                    prompt,
                    network.clock.nanos(),
                    DEADLINE_MS,
                    nextFingerprint++);
            exchange = new Exchange(request, host.context, this);
        }

        @Override
        public Attempt send(Dispatch dispatch, AttemptListener listener) {
            int number = Integer.parseInt(dispatch.endpoint().id().substring(2));
            SimulatedAttempt sent = new SimulatedAttempt(listener) {
                @Override
                boolean isOpen() {
                    return super.isOpen() && host.alive;
                }
            };
            engines.get(number).receive(sent);
            return sent;
        }

        @Override
        public void wakeAt(long nanos) {
            wakeNanos = nanos;
            network.after(Math.max(0, (nanos - network.clock.nanos()) / 1_000_000 + 1), () -> {
                if (host.alive && wakeNanos == nanos) {
                    exchange.onTimer();
                }
            });
        }

        @Override
        public void forwardHead(ResponseHead head) {}

        @Override
        public void forwardBody(byte[] body) {}

        @Override
        public void finish() {
            completed++;
        }

        @Override
        public void abort() {}

        @Override
        public void reject(Rejection rejection) {
            refusals.add(new Refusal(rejection, nowMs() - startedMs));
        }
    }
}
