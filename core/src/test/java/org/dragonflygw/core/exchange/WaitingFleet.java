package org.dragonflygw.core.exchange;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Predicate;
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
import org.dragonflygw.core.dispatch.EndpointLoadState;
import org.dragonflygw.core.dispatch.EndpointLoads;
import org.dragonflygw.core.dispatch.PeerLoad;
import org.dragonflygw.core.dispatch.Prompt;
import org.dragonflygw.core.dispatch.PromptPart;
import org.dragonflygw.core.dispatch.ServiceRoom;
import org.dragonflygw.core.dispatch.TwoChoicesChooser;
import org.dragonflygw.core.lease.SuspensionDetector;
import org.dragonflygw.core.limits.RetryAfterDelays;
import org.dragonflygw.core.log.NoOpEventLog;
import org.dragonflygw.core.retry.FleetRetryShare;
import org.dragonflygw.core.settings.RetryBounds;

/**
 * Hosts on virtual time that share engines and know each other's load from late reports: each host reports to 8 others
 * every 200 ms, in turn. Callers come to a random host, come back once after a refusal at another random host, and then
 * state the rest of their deadline. An engine runs as many requests as it has slots; further ones queue there.
 */
final class WaitingFleet {
    static final String SERVICE = "llm";

    /** Memory of an engine in tokens; enough for all slots, so that the slots bound its load. */
    private static final long ENGINE_MEMORY_TOKENS = 414_661;

    private static final byte[] EVENT = "data: 1\n\n".getBytes(StandardCharsets.UTF_8);
    private static final int FAN_OUT = 8;
    private static final long REPORT_INTERVAL_MS = 200;
    private static final int TEAMS = 24;
    private static final int SUBJECTS = 40;
    private static final long RETRY_WINDOW_NANOS = TimeUnit.SECONDS.toNanos(10);

    final ManualMonotonicClock clock = new ManualMonotonicClock();
    final SplittableRandom random;
    final List<Host> hosts = new ArrayList<>();
    final Map<String, Engine> engines = new HashMap<>();
    final Outcomes outcomes = new Outcomes();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparingLong(Event::number));
    private final CatalogService service;
    private final int slots;
    private final boolean waiting;
    private final List<Filler> fillers = new ArrayList<>();
    private long eventNumber;
    private long requestNumber;
    private long nowMs;

    /** Sends of which the engine had no free slot, so that they queue there. */
    int sentToFullEngines;

    int sent;

    /** Whether a refused caller comes back. */
    boolean callersRetry = true;

    /** Share of the callers that leave within their first 100 ms. */
    double leavingShare;

    /** Weight of the first team's load; all others have 1. */
    int firstTeamWeight = 1;

    /**
     * A kind of request.
     *
     * @param name name of the route
     * @param serviceMs mean time for which it occupies a slot
     */
    record Kind(String name, int priority, long objectiveMs, long deadlineMs, int tokens, double serviceMs) {
        CatalogRoute route() {
            return new CatalogRoute(
                    name,
                    "h",
                    "/p/",
                    RouteKind.STREAMING,
                    deadlineMs,
                    objectiveMs,
                    priority,
                    List.of(new WeightedService(SERVICE, 1)),
                    2,
                    false,
                    true,
                    false,
                    500);
        }
    }

    private record Event(long atMs, long number, Runnable action) {}

    WaitingFleet(int hostCount, int engineCount, int slots, boolean waiting, long seed) {
        this.slots = slots;
        this.waiting = waiting;
        this.random = new SplittableRandom(seed);
        this.service = new CatalogService(SERVICE, "/", 520, slots, ENGINE_MEMORY_TOKENS, 0);
        for (int i = 0; i < engineCount; i++) {
            engines.put("e" + i, new Engine());
        }
        for (int i = 0; i < hostCount; i++) {
            hosts.add(new Host(i, hostCount));
        }
        for (Host h : hosts) {
            at(random.nextInt((int) REPORT_INTERVAL_MS), h::report);
        }
    }

    DiscoveredEndpoint endpoint(String id) {
        return new DiscoveredEndpoint(id, SERVICE, "10.0.0.1", 80, "a", slots, false, 0, 1, "v1");
    }

    void at(long atMs, Runnable action) {
        events.add(new Event(Math.max(nowMs, atMs), eventNumber++, action));
    }

    long nowMs() {
        return nowMs;
    }

    void runUntil(long endMs) {
        while (!events.isEmpty() && events.peek().atMs() <= endMs) {
            Event e = events.poll();
            clock.advanceMs(e.atMs() - nowMs);
            nowMs = e.atMs();
            e.action().run();
        }
        clock.advanceMs(endMs - nowMs);
        nowMs = endMs;
    }

    /** Lets requests of a kind arrive at random times from now until an end. */
    void load(Kind kind, double perSecond, long endMs) {
        long next = nowMs + Math.round(-Math.log(1 - random.nextDouble()) * 1_000 / perSecond);
        if (next < endMs) {
            at(next, () -> {
                arrive(kind);
                load(kind, perSecond, endMs);
            });
        }
    }

    /** Lets requests arrive of which the engines can serve just the given multiple per second, each kind equally often. */
    void loadOf(List<Kind> kinds, double multipleOfCapacity, long endMs) {
        double meanMs = kinds.stream().mapToDouble(Kind::serviceMs).average().orElseThrow();
        double perSecond = multipleOfCapacity * engines.size() * slots * 1_000 / meanMs;
        kinds.forEach(k -> load(k, perSecond / kinds.size(), endMs));
    }

    Caller arrive(Kind kind) {
        int draw = random.nextInt(TEAMS - 1 + firstTeamWeight);
        String team = "t" + Math.max(0, draw - firstTeamWeight + 1);
        Caller c = new Caller(kind, team, random.nextInt(SUBJECTS) + 1, ++requestNumber);
        outcomes.asked(c);
        c.attempt(kind.deadlineMs());
        if (random.nextDouble() < leavingShare) {
            at(nowMs + random.nextInt(100), c::leave);
        }
        return c;
    }

    /** Fills all slots evenly with requests that end only by {@link #endOneRequest}. */
    void fillAllSlots() {
        int next = 0;
        for (String id : engines.keySet().stream().sorted().toList()) {
            for (int i = 0; i < slots; i++) {
                Filler filler = new Filler(hosts.get(next++ % hosts.size()), id);
                EndpointLoadState state = filler.host.loads.get(id).orElseThrow();
                filler.host.loads.onSent(state, Prompt.NONE, 0, clock.nanos());
                engines.get(id).running++;
                fillers.add(filler);
            }
        }
    }

    /** Ends one of the requests that fill the slots. */
    void endOneRequest() {
        Filler filler = fillers.remove(random.nextInt(fillers.size()));
        filler.host.loads.get(filler.engine).orElseThrow().onRequestEnded();
        engines.get(filler.engine).free();
        filler.host.admission.onEnded(service, "chat", 1, 1);
    }

    private record Filler(Host host, String engine) {}

    Host randomHost() {
        return hosts.get(random.nextInt(hosts.size()));
    }

    /** Returns the number of requests that run at engines. */
    int busy() {
        return engines.values().stream().mapToInt(e -> e.running).sum();
    }

    int totalWaiting() {
        return hosts.stream().mapToInt(h -> h.admission.waitingCount()).sum();
    }

    /** One host with the state that its requests share. */
    final class Host {
        final EndpointLoads loads = new EndpointLoads();
        final Admission admission;
        final ExchangeContext context;
        private final Map<String, int[]> reported = new HashMap<>();
        private final Map<String, Integer> sums = new HashMap<>();
        private final int number;
        private int nextTarget;

        Host(int number, int hostCount) {
            this.number = number;
            this.nextTarget = number + 1;
            engines.keySet().stream().sorted().forEach(id -> {
                loads.onUpdated(endpoint(id));
                reported.put(id, new int[hostCount]);
                sums.put(id, 0);
            });
            admission = new Admission(
                    () -> waiting,
                    new ServiceRoom(loads),
                    new FleetShare(() -> OptionalInt.of(hostCount)),
                    random.split(),
                    new NoOpEventLog(),
                    clock,
                    clock);
            context = new ExchangeContext(
                    new TwoChoicesChooser(loads, random.split()),
                    loads,
                    admission,
                    ExchangeFixture.PERMITS,
                    ExchangeFixture.lonelyOrigins(clock),
                    new EndpointNotices(loads, new NoOpEventLog(), clock),
                    new FleetRetryShare(
                            () -> new RetryBounds(0.2, 50, RETRY_WINDOW_NANOS),
                            () -> OptionalInt.of(hostCount),
                            new SuspensionDetector(clock, clock),
                            clock.nanos() - RETRY_WINDOW_NANOS),
                    new CrashSuspects(new NoOpEventLog()),
                    new CrashingParts(new NoOpEventLog()),
                    EndpointProbe.NONE,
                    new SilenceCounts(),
                    new RetryAfterDelays(random.split()),
                    new NoOpEventLog(),
                    clock);
        }

        private void report() {
            for (int i = 0; i < Math.min(FAN_OUT, hosts.size() - 1); i++) {
                Host target = hosts.get(Math.floorMod(nextTarget++, hosts.size()));
                if (target == this) {
                    target = hosts.get(Math.floorMod(nextTarget++, hosts.size()));
                }
                for (EndpointLoadState e : loads.all()) {
                    target.onReport(number, e.entry().id(), e.inFlight());
                }
            }
            if (hosts.size() > 1) {
                loads.all()
                        .forEach(e -> e.onPeerLoad(
                                new PeerLoad(sums.getOrDefault(e.entry().id(), 0), 0, 0), clock.nanos()));
            }
            at(nowMs + REPORT_INTERVAL_MS, this::report);
        }

        private void onReport(int peer, String id, int inFlight) {
            int[] byPeer = reported.get(id);
            sums.merge(id, inFlight - byPeer[peer], Integer::sum);
            byPeer[peer] = inFlight;
        }
    }

    /** An engine that runs as many requests as it has slots, and the others in order of arrival. */
    final class Engine {
        private final Deque<Sent> queue = new ArrayDeque<>();
        private int running;

        void accept(Sent request) {
            sent++;
            if (running >= slots) {
                sentToFullEngines++;
                queue.add(request);
                return;
            }
            run(request);
        }

        private void run(Sent request) {
            if (!request.isOpen()) {
                return;
            }
            running++;
            request.runningAt = this;
            double ms = request.visit.caller.kind.serviceMs() * (0.5 + random.nextDouble());
            at(nowMs + Math.max(1, Math.round(ms / 10)), request::begin);
            at(nowMs + Math.max(2, Math.round(ms)), request::finishResponse);
        }

        void free() {
            running--;
            while (running < slots && !queue.isEmpty()) {
                run(queue.poll());
            }
        }
    }

    /** A caller with one request, which it repeats once after a refusal. */
    final class Caller {
        final Kind kind;
        final String team;
        final int subject;
        final long startedMs = nowMs;
        private final long number;
        private int attempts;
        private Visit current;
        long firstPartMs = -1;
        boolean left;
        boolean done;

        Caller(Kind kind, String team, int subject, long number) {
            this.kind = kind;
            this.team = team;
            this.subject = subject;
            this.number = number;
        }

        void attempt(long deadlineMs) {
            attempts++;
            current = new Visit(this, randomHost(), deadlineMs);
            current.exchange.start();
        }

        void leave() {
            if (!done && current.exchange != null && !current.exchange.ended()) {
                left = true;
                done = true;
                current.exchange.onCallerDisconnected();
            }
        }

        private void onRejected(Rejection rejection, long heldMs) {
            long retryAfterMs = rejection.retryAfterMs();
            if (rejection.reason() == RejectReason.BUSY) {
                outcomes.refused(this, heldMs);
            }
            long rest = kind.deadlineMs() - (nowMs + retryAfterMs - startedMs);
            if (callersRetry && attempts == 1 && retryAfterMs > 0 && rest > 0 && !left) {
                at(nowMs + retryAfterMs, () -> attempt(rest));
                return;
            }
            done = true;
        }
    }

    /** One attempt of a caller at one host. */
    final class Visit implements ExchangeOutput {
        private final Caller caller;
        private final Exchange exchange;
        private final long arrivedMs = nowMs;
        private long wakeNumber;
        Rejection rejection;

        Visit(Caller caller, Host host, long deadlineMs) {
            this.caller = caller;
            List<PromptPart> parts = List.of(
                    new PromptPart(caller.subject, caller.kind.tokens()),
                    new PromptPart(1_000_000 + caller.number, 10));
            ExchangeRequest request = new ExchangeRequest(
                    "r" + caller.number + "-" + caller.attempts,
                    caller.team,
                    caller.kind.route(),
                    service,
                    caller.kind.priority(),
                    Optional.empty(),
                    new Prompt(parts, caller.kind.tokens() + 10, 100),
                    clock.nanos(),
                    deadlineMs,
                    caller.number);
            exchange = new Exchange(request, host.context, this);
        }

        @Override
        public Attempt send(Dispatch dispatch, AttemptListener listener) {
            Sent request = new Sent(this, listener);
            engines.get(dispatch.endpoint().id()).accept(request);
            return request;
        }

        @Override
        public void forwardHead(ResponseHead head) {}

        @Override
        public void forwardBody(byte[] body) {}

        @Override
        public void finish() {
            caller.done = true;
            outcomes.served(caller);
        }

        @Override
        public void abort() {
            caller.done = true;
        }

        @Override
        public void reject(Rejection r) {
            rejection = r;
            caller.onRejected(r, nowMs - arrivedMs);
        }

        @Override
        public void wakeAt(long nanos) {
            long number = ++wakeNumber;
            long delayMs = Math.max(0, (nanos - clock.nanos() + 999_999) / 1_000_000);
            at(nowMs + delayMs, () -> {
                if (number == wakeNumber && !exchange.ended()) {
                    exchange.onTimer();
                }
            });
        }
    }

    /** What became of the callers, by any property. */
    static final class Outcomes {
        final List<Caller> callers = new ArrayList<>();
        final List<Caller> servedCallers = new ArrayList<>();
        private final List<double[]> held = new ArrayList<>();

        /** Callers that come later are not counted, as the load ends before their retries. */
        long countedUntilMs = Long.MAX_VALUE;

        private boolean counts(Caller c) {
            return c.startedMs < countedUntilMs;
        }

        void asked(Caller c) {
            callers.add(c);
        }

        void served(Caller c) {
            servedCallers.add(c);
        }

        void refused(Caller c, long heldMs) {
            held.add(new double[] {heldMs, heldMs / (double) c.kind.objectiveMs()});
        }

        double servedShare() {
            return servedShare(c -> true);
        }

        double onTimeShare() {
            return onTimeShare(c -> true);
        }

        double servedShare(Predicate<Caller> of) {
            return share(servedCallers.stream().filter(of).filter(this::counts).count(), of);
        }

        double onTimeShare(Predicate<Caller> of) {
            return share(
                    servedCallers.stream()
                            .filter(of)
                            .filter(this::counts)
                            .filter(c -> c.firstPartMs <= c.kind.objectiveMs())
                            .count(),
                    of);
        }

        private double share(long count, Predicate<Caller> of) {
            return count
                    / (double) Math.max(
                            1, callers.stream().filter(of).filter(this::counts).count());
        }

        int refusals() {
            return held.size();
        }

        /** Mean time for which refused attempts were held, as a share of their objective. */
        double heldShareOfRefused() {
            return held.stream().mapToDouble(h -> h[1]).average().orElse(0);
        }

        /** Share of the refused attempts that were held longer than an eighth of their objective. */
        double longHeldShare() {
            return held.stream().filter(h -> h[1] > 0.13).count() / (double) Math.max(1, held.size());
        }

        <K> Map<K, Double> servedShares(Function<Caller, K> by) {
            Map<K, Double> shares = new TreeMap<>();
            callers.stream()
                    .map(by)
                    .distinct()
                    .forEach(k -> shares.put(k, servedShare(c -> by.apply(c).equals(k))));
            return shares;
        }
    }
    /** The request of a visit at one engine. */
    private final class Sent extends SimulatedAttempt {
        private final Visit visit;
        private Engine runningAt;

        Sent(Visit visit, AttemptListener listener) {
            super(listener);
            this.visit = visit;
        }

        private void begin() {
            if (!isOpen()) {
                return;
            }
            if (visit.caller.firstPartMs < 0) {
                visit.caller.firstPartMs = nowMs - visit.arrivedMs;
            }
            head(ExchangeFixture.signedHead(200));
            body(EVENT);
        }

        private void finishResponse() {
            leaveEngine();
            complete();
        }

        private void leaveEngine() {
            if (runningAt != null) {
                Engine engine = runningAt;
                runningAt = null;
                engine.free();
            }
        }

        @Override
        public boolean cancel() {
            super.cancel();
            leaveEngine();
            return true;
        }
    }
}
