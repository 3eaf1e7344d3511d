package org.dragonflygw.core.exchange;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import org.dragonflygw.core.catalog.CatalogService;
import org.dragonflygw.core.catalog.RouteKind;
import org.dragonflygw.core.discovery.DiscoveredEndpoint;
import org.dragonflygw.core.dispatch.Prompt;
import org.dragonflygw.core.dispatch.PromptPart;
import org.dragonflygw.core.peers.HostRanking;
import org.dragonflygw.core.ratelimit.PermitIssuer;
import org.dragonflygw.core.ratelimit.PermitOwners;
import org.dragonflygw.core.ratelimit.PermitReply;
import org.dragonflygw.core.ratelimit.PermitRequest;
import org.dragonflygw.core.ratelimit.RateNotice;
import org.dragonflygw.core.ratelimit.SharedPermits;

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
    private static final int REPLY_TIMEOUT_MS = 50;
    private static final int HEAD_MS = 40;
    private static final int BODY_PAUSE_MS = 50;
    private static final int WORK_MS = 1_200;
    private static final int DEADLINE_MS = 15_000;
    private static final int SUBJECTS = 40;
    private static final double MEAN_WEIGHT = 0.8;

    private final SimulatedNetwork network;
    private final List<Engine> engines = new ArrayList<>();
    private final List<Arrival> arrivals = new ArrayList<>();
    private final List<Double> hostWeights = new ArrayList<>();
    private int messages;
    private long nextFingerprint = 1;
    private int completed;
    private final List<Refusal> refusals = new ArrayList<>();

    /** One request that reached an engine. */
    record Arrival(int engine, String host, long atMs) {}

    /** One request that a host refused, with the time since its arrival. */
    record Refusal(Rejection rejection, long afterMs) {}

    LimitedEndpointFleet(int hostCount, int engineCount, long seed) {
        network = new SimulatedNetwork(seed);
        for (int i = 0; i < engineCount; i++) {
            engines.add(new Engine(i));
        }
        for (int i = 0; i < hostCount; i++) {
            network.hosts().add(new Host("h" + i));
            hostWeights.add(MEAN_WEIGHT - 0.5 + network.random.nextDouble());
        }
        network.hosts().forEach(SimulatedHost::learnPeers);
    }

    /** Sets the notice in the responses of some engines, by the time in milliseconds. */
    LimitedEndpointFleet limit(int firstEngine, int endEngine, LongFunction<RateNotice> noticeAt) {
        engines.subList(firstEngine, endEngine).forEach(e -> e.noticeAt = noticeAt);
        return this;
    }

    LimitedEndpointFleet messageLoss(double ratio) {
        network.messageLoss(ratio);
        return this;
    }

    /** Runs with callers that come at a mean rate. */
    void run(long millis, double requestsPerSecond) {
        scheduleCallers(nowMs() + millis, requestsPerSecond);
        network.run(millis);
    }

    private void scheduleCallers(long until, double requestsPerSecond) {
        double at = nowMs();
        while (true) {
            at += -Math.log(1 - network.random.nextDouble()) * 1_000 / requestsPerSecond;
            if (at >= until) {
                return;
            }
            int host = drawHost();
            network.after((long) at - nowMs(), () -> host(host).receive());
        }
    }

    private int drawHost() {
        double sum = hostWeights.stream().mapToDouble(w -> w).sum();
        double draw = network.random.nextDouble() * sum;
        for (int i = 0; i < hostWeights.size(); i++) {
            draw -= hostWeights.get(i);
            if (draw <= 0) {
                return i;
            }
        }
        return 0;
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
        network.hosts().set(host, fresh);
        fresh.learnPeers();
    }

    /** Starts a host that the others learn of by its reports. */
    void add() {
        Host host = new Host("h" + network.hosts().size());
        network.hosts().add(host);
        hostWeights.add(MEAN_WEIGHT);
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

    /** Stops all messages of a host and to it, for good. */
    void lose(int host) {
        host(host).alive = false;
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
            arrivals.add(new Arrival(number, call.host.name, nowMs()));
            int attempt = call.attempt;
            network.after(HEAD_MS, () -> call.head(attempt, head()));
            for (int ms = HEAD_MS; ms < WORK_MS; ms += BODY_PAUSE_MS) {
                network.after(ms, () -> call.body(attempt));
            }
            network.after(WORK_MS, () -> call.complete(attempt));
        }

        private ResponseHead head() {
            EndpointNotice notice = new EndpointNotice(false, 0, noticeAt.apply(nowMs()));
            return new ResponseHead(200, true, false, false, -1, false, Optional.empty(), notice, List.of());
        }
    }

    private final class Host extends SimulatedHost {
        private final ExchangeContext context;
        private final PermitIssuer issuer;

        Host(String name) {
            super(name, network);
            engines.forEach(e -> loads.onUpdated(e.entry));
            PermitOwners owners = new PermitOwners(
                    name, new HostRanking(name, peers::rankedHosts, network.clock), peers::isListed, peers::mayBeUp);
            this.issuer = new PermitIssuer(name, loads.rates(), owners, network.clock);
            SharedPermits permits = new SharedPermits(
                    name, loads.rates(), owners, issuer, this::ask, network.random.split(), network.clock);
            this.context = ExchangeFixture.context(
                    loads,
                    permits,
                    ExchangeFixture.lonelyOrigins(network.clock),
                    crashes,
                    parts,
                    EndpointProbe.NONE,
                    network.clock);
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
        private int attempt;
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
