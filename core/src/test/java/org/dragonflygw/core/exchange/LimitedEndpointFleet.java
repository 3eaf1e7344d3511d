package org.dragonflygw.core.exchange;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import org.dragonflygw.core.ManualMonotonicClock;
import org.dragonflygw.core.catalog.CatalogService;
import org.dragonflygw.core.catalog.RouteKind;
import org.dragonflygw.core.crash.CrashSuspects;
import org.dragonflygw.core.crash.CrashingParts;
import org.dragonflygw.core.discovery.DiscoveredEndpoint;
import org.dragonflygw.core.dispatch.EndpointLoads;
import org.dragonflygw.core.dispatch.Prompt;
import org.dragonflygw.core.dispatch.PromptPart;
import org.dragonflygw.core.log.NoOpEventLog;
import org.dragonflygw.core.peers.HostReport;
import org.dragonflygw.core.peers.HostReportFactory;
import org.dragonflygw.core.peers.PeerTable;
import org.dragonflygw.core.peers.ReportTargets;
import org.dragonflygw.core.ratelimit.PermitIssuer;
import org.dragonflygw.core.ratelimit.PermitOwners;
import org.dragonflygw.core.ratelimit.PermitReply;
import org.dragonflygw.core.ratelimit.PermitRequest;
import org.dragonflygw.core.ratelimit.RateNotice;
import org.dragonflygw.core.ratelimit.SharedPermits;
import org.dragonflygw.core.settings.HostAddress;
import org.dragonflygw.core.storenews.StoreNews;

/**
 * Hosts on virtual time in front of simulated engines that name limits in their responses. Callers come at random times,
 * unevenly over the hosts; hosts send each other reports. Records what reaches each engine.
 */
final class LimitedEndpointFleet {
    /** Time after an engine first named a limit from which the limit must be kept, in milliseconds. */
    static final int CONTACT_MS = 3_000;

    /** Length of the windows in which arrivals are counted, in milliseconds. */
    static final int WINDOW_MS = 4_000;

    private static final CatalogService SERVICE = new CatalogService("app", "/", 100, 64, 300_000, 0);
    private static final int ROUND_MS = 200;
    private static final int FAN_OUT = 8;
    private static final int NETWORK_MS = 1;
    private static final int REPLY_TIMEOUT_MS = 50;
    private static final int HEAD_MS = 40;
    private static final int BODY_PAUSE_MS = 50;
    private static final int WORK_MS = 1_200;
    private static final int DEADLINE_MS = 15_000;
    private static final int SUBJECTS = 40;
    private static final double MEAN_WEIGHT = 0.8;

    private final ManualMonotonicClock clock = new ManualMonotonicClock();
    private final SplittableRandom random;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparingLong(Event::order));
    private final List<Engine> engines = new ArrayList<>();
    private final List<Host> hosts = new ArrayList<>();
    private final List<Arrival> arrivals = new ArrayList<>();
    private final List<Double> hostWeights = new ArrayList<>();
    private double messageLoss;
    private int messages;
    private long nextOrder;
    private long nextFingerprint = 1;
    private long nowMs;
    private int completed;
    private final List<Refusal> refusals = new ArrayList<>();

    private record Event(long atMs, long order, Runnable action) {}

    /** One request that reached an engine. */
    record Arrival(int engine, String host, long atMs) {}

    /** One request that a host refused, with the time since its arrival. */
    record Refusal(Rejection rejection, long afterMs) {}

    LimitedEndpointFleet(int hostCount, int engineCount, long seed) {
        random = new SplittableRandom(seed);
        for (int i = 0; i < engineCount; i++) {
            engines.add(new Engine(i));
        }
        for (int i = 0; i < hostCount; i++) {
            hosts.add(new Host("h" + i));
            hostWeights.add(MEAN_WEIGHT - 0.5 + random.nextDouble());
        }
        hosts.forEach(Host::learnPeers);
        after(0, this::reportRound);
    }

    /** Sets the notice in the responses of some engines, by the time in milliseconds. */
    LimitedEndpointFleet limit(int firstEngine, int endEngine, LongFunction<RateNotice> noticeAt) {
        engines.subList(firstEngine, endEngine).forEach(e -> e.noticeAt = noticeAt);
        return this;
    }

    LimitedEndpointFleet messageLoss(double ratio) {
        messageLoss = ratio;
        return this;
    }

    /** Runs with callers that come at a mean rate. */
    void run(long millis, double requestsPerSecond) {
        long until = nowMs + millis;
        scheduleCallers(until, requestsPerSecond);
        while (!events.isEmpty() && events.peek().atMs <= until) {
            Event e = events.poll();
            advanceTo(e.atMs);
            e.action.run();
        }
        advanceTo(until);
    }

    private void advanceTo(long ms) {
        clock.advanceMs(ms - nowMs);
        nowMs = ms;
    }

    private void scheduleCallers(long until, double requestsPerSecond) {
        double at = nowMs;
        while (true) {
            at += -Math.log(1 - random.nextDouble()) * 1_000 / requestsPerSecond;
            if (at >= until) {
                return;
            }
            int host = drawHost();
            after((long) at - nowMs, () -> hosts.get(host).receive());
        }
    }

    private int drawHost() {
        double sum = hostWeights.stream().mapToDouble(w -> w).sum();
        double draw = random.nextDouble() * sum;
        for (int i = 0; i < hostWeights.size(); i++) {
            draw -= hostWeights.get(i);
            if (draw <= 0) {
                return i;
            }
        }
        return 0;
    }

    private void after(long ms, Runnable action) {
        events.add(new Event(nowMs + ms, nextOrder++, action));
    }

    private void reportRound() {
        hosts.forEach(Host::report);
        after(ROUND_MS, this::reportRound);
    }

    private Host named(String host) {
        return hosts.get(Integer.parseInt(host.substring(1)));
    }

    private void deliver(Host from, Host to, Runnable action) {
        if (!from.reaches(to) || random.nextDouble() < messageLoss) {
            return;
        }
        after(NETWORK_MS, () -> {
            if (from.reaches(to)) {
                action.run();
            }
        });
    }

    /** Returns how many messages hosts sent to ask for permits. */
    int messages() {
        return messages;
    }

    long nowMs() {
        return nowMs;
    }

    int completed() {
        return completed;
    }

    List<Refusal> refusals() {
        return List.copyOf(refusals);
    }

    /** Ends the process of a host and starts a new one, which knows only the list of hosts. */
    void restart(int host) {
        Host old = hosts.get(host);
        old.alive = false;
        Host fresh = new Host(old.name);
        hosts.set(host, fresh);
        fresh.learnPeers();
    }

    /** Starts a host that the others learn of by its reports. */
    void add() {
        Host host = new Host("h" + hosts.size());
        hosts.add(host);
        hostWeights.add(MEAN_WEIGHT);
        host.learnPeers();
    }

    /** Cuts a host off from all other hosts, or ends the cut. */
    void cutOff(int host, boolean cut) {
        hosts.get(host).cutOff = cut;
    }

    /** Stops all messages of a host and to it, for good. */
    void lose(int host) {
        hosts.get(host).alive = false;
        hostWeights.set(host, 0.0);
    }

    /** Returns how many requests reached an engine in a period. */
    long arrivals(int engine, long fromMs, long untilMs) {
        return arrivals.stream()
                .filter(a -> a.engine == engine && a.atMs >= fromMs && a.atMs < untilMs)
                .count();
    }

    /** Returns the most requests that reached an engine in any window from a time on, from all hosts. */
    int mostInWindow(int engine, long fromMs) {
        List<Long> times = arrivals.stream()
                .filter(a -> a.engine == engine && a.atMs >= fromMs)
                .map(Arrival::atMs)
                .toList();
        int most = 0;
        int first = 0;
        for (int last = 0; last < times.size(); last++) {
            while (times.get(last) - times.get(first) >= WINDOW_MS) {
                first++;
            }
            most = Math.max(most, last - first + 1);
        }
        return most;
    }

    private final class Engine {
        private final int number;
        private final DiscoveredEndpoint entry;
        private LongFunction<RateNotice> noticeAt = t -> RateNotice.UNLIMITED;

        Engine(int number) {
            this.number = number;
            this.entry = new DiscoveredEndpoint("i-" + number, "app", "10.0.0.1", 80, "a", 64, false, 0, 1, "v1");
        }

        void receive(Call call) {
            arrivals.add(new Arrival(number, call.host.name, nowMs));
            int attempt = call.attempt;
            after(HEAD_MS, () -> call.head(attempt, head()));
            for (int ms = HEAD_MS; ms < WORK_MS; ms += BODY_PAUSE_MS) {
                after(ms, () -> call.body(attempt));
            }
            after(WORK_MS, () -> call.complete(attempt));
        }

        private ResponseHead head() {
            EndpointNotice notice = new EndpointNotice(false, 0, noticeAt.apply(nowMs));
            return new ResponseHead(200, true, false, false, -1, false, Optional.empty(), notice, List.of());
        }
    }

    private final class Host {
        private final String name;
        private final EndpointLoads loads = new EndpointLoads();
        private final PeerTable peers;
        private final HostReportFactory reports;
        private final ExchangeContext context;
        private final PermitIssuer issuer;
        private final ReportTargets targets = new ReportTargets(FAN_OUT, random.split());
        private boolean alive = true;
        private boolean cutOff;

        Host(String name) {
            this.name = name;
            CrashSuspects crashes = new CrashSuspects(new NoOpEventLog());
            CrashingParts parts = new CrashingParts(new NoOpEventLog());
            this.peers = new PeerTable(name, loads, new NoOpEventLog(), clock);
            this.reports =
                    new HostReportFactory(name, new HostAddress(name, 7_000), 1 + nowMs, loads, crashes, parts, clock);
            engines.forEach(e -> loads.onUpdated(e.entry));
            PermitOwners owners = new PermitOwners(name, peers::hostNames, peers::isListed, peers::isReporting, clock);
            this.issuer = new PermitIssuer(name, loads.rates(), owners, clock);
            SharedPermits permits =
                    new SharedPermits(name, loads.rates(), owners, issuer, this::ask, random.split(), clock);
            this.context = ExchangeFixture.context(loads, permits, crashes, parts, EndpointProbe.NONE, clock);
        }

        void learnPeers() {
            hosts.forEach(h -> peers.onHostListed(h.name, new HostAddress(h.name, 7_000)));
            peers.onListComplete();
        }

        /** Asks another host for a permit; either message may be lost. */
        private void ask(String host, PermitRequest request, Consumer<Optional<PermitReply>> listener) {
            messages++;
            Reply reply = new Reply(this, listener);
            Host to =
                    hosts.stream().filter(h -> h.name.equals(host)).findFirst().orElseThrow();
            deliver(this, to, () -> {
                PermitReply answer = to.issuer.issue(request);
                deliver(to, this, () -> reply.end(Optional.of(answer)));
            });
            after(REPLY_TIMEOUT_MS, () -> reply.end(Optional.empty()));
        }

        void receive() {
            if (alive) {
                new Call(this).exchange.start();
            }
        }

        boolean reaches(Host other) {
            return alive && other.alive && !cutOff && !other.cutOff;
        }

        void report() {
            if (!alive) {
                return;
            }
            peers.refreshPeerLoads();
            List<HostAddress> addresses = peers.addresses();
            HostReport report = reports.next(targets.rounds(addresses.size()), StoreNews.NONE);
            for (HostAddress target : targets.next(addresses)) {
                Host to = named(target.ip());
                deliver(this, to, () -> to.peers.onReport(report));
            }
        }
    }

    /** Waits for one reply, and takes the first one only. */
    private static final class Reply {
        private final Host asker;
        private final Consumer<Optional<PermitReply>> listener;
        private boolean ended;

        Reply(Host asker, Consumer<Optional<PermitReply>> listener) {
            this.asker = asker;
            this.listener = listener;
        }

        void end(Optional<PermitReply> reply) {
            if (!ended && asker.alive) {
                ended = true;
                listener.accept(reply);
            }
        }
    }

    private final class Call implements ExchangeOutput {
        private final Host host;
        private final Exchange exchange;
        private final long startedMs = nowMs;
        private int attempt;
        private long wakeNanos;

        Call(Host host) {
            this.host = host;
            long subject = random.nextInt(SUBJECTS);
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
                    clock.nanos(),
                    DEADLINE_MS,
                    nextFingerprint++);
            exchange = new Exchange(request, host.context, this);
        }

        void head(int toAttempt, ResponseHead head) {
            if (host.alive && toAttempt == attempt) {
                exchange.onHead(head);
            }
        }

        void body(int toAttempt) {
            if (host.alive && toAttempt == attempt) {
                exchange.onBody(new byte[] {1});
            }
        }

        void complete(int toAttempt) {
            if (host.alive && toAttempt == attempt) {
                exchange.onComplete();
            }
        }

        @Override
        public void send(Dispatch dispatch) {
            int number = Integer.parseInt(dispatch.endpoint().id().substring(2));
            attempt++;
            engines.get(number).receive(this);
        }

        @Override
        public void cancelAttempt() {
            attempt++;
        }

        @Override
        public void wakeAt(long nanos) {
            wakeNanos = nanos;
            after(Math.max(0, (nanos - clock.nanos()) / 1_000_000 + 1), () -> {
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
            refusals.add(new Refusal(rejection, nowMs - startedMs));
        }
    }
}
