package org.dragonflygw.core.exchange;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.dragonflygw.core.ManualMonotonicClock;
import org.dragonflygw.core.catalog.CatalogService;
import org.dragonflygw.core.catalog.RouteKind;
import org.dragonflygw.core.discovery.DiscoveredEndpoint;
import org.dragonflygw.core.dispatch.Prompt;

/**
 * Hosts on virtual time in front of simulated engines that end when they begin to run one marked request. The request
 * comes again through any host; other requests are lost beside it. Records when the marked request reached engines.
 */
final class CrashingRequestFleet {
    /** How an engine ends under the marked request. */
    enum End {
        /** All connections are reset, and new ones are refused. */
        RESET,
        /** Nothing is sent any more, on any connection. */
        SILENT,
        /** Bytes that are no response arrive on the connection of the marked request; other connections are reset. */
        MALFORMED
    }

    /** Time from the third end of an engine after which hosts must know of it, in milliseconds. */
    static final long CONTACT_MS = 3_000;

    private static final long CRASHING = 0x5eed;
    private static final int STEP_MS = 5;
    private static final int ROUND_MS = 200;
    private static final int RUN_DELAY_MS = 5;
    private static final int CONNECT_TIMEOUT_MS = 450;
    private static final int RESTART_MS = 3_000;

    /** Time until the entry of an engine that ended is gone: three heartbeats and a read of the store. */
    private static final int ENTRY_EXPIRY_MS = 4_000;

    private final ManualMonotonicClock clock = new ManualMonotonicClock();
    private final SplittableRandom random;
    private final End end;
    private final List<Host> hosts = new ArrayList<>();
    private final List<Engine> engines = new ArrayList<>();
    private final List<Event> events = new ArrayList<>();
    private final Map<String, SimulatedCrashHost.StoredRow> store = new LinkedHashMap<>();
    private final List<Long> endsMs = new ArrayList<>();
    private final List<Long> sendsMs = new ArrayList<>();
    private int othersLostPerHost;
    private int unrelatedLossesPerRound;
    private boolean restartsUnderSameId;
    private boolean callersLeaveAtOnce;
    private RouteKind routeKind = RouteKind.IDEMPOTENT;
    private double reportLoss;
    private long nextFingerprint = 1L << 32;
    private int startedEngines;
    private long nowMs;

    private record Event(long atMs, Runnable action) {}

    CrashingRequestFleet(int hostCount, int engineCount, End end, long seed) {
        this.end = end;
        this.random = new SplittableRandom(seed);
        for (int i = 0; i < engineCount; i++) {
            engines.add(new Engine(entry("i-" + startedEngines++)));
        }
        for (int i = 0; i < hostCount; i++) {
            hosts.add(new Host("h" + i));
        }
    }

    /** Sets how many other requests each host loses beside the marked one when an engine ends. */
    CrashingRequestFleet othersLostPerHost(int count) {
        othersLostPerHost = count;
        return this;
    }

    /** Sets how many requests each host loses at sound engines in each round of reports. */
    CrashingRequestFleet unrelatedLossesPerRound(int count) {
        unrelatedLossesPerRound = count;
        return this;
    }

    CrashingRequestFleet restartsUnderSameId() {
        restartsUnderSameId = true;
        return this;
    }

    /** Callers of the marked request close their connections before its engine ends. */
    CrashingRequestFleet callersLeaveAtOnce() {
        callersLeaveAtOnce = true;
        return this;
    }

    /** The marked request may not run again, so each arrival reaches one engine at most. */
    CrashingRequestFleet nonIdempotent() {
        routeKind = RouteKind.NON_IDEMPOTENT;
        return this;
    }

    CrashingRequestFleet reportLoss(double ratio) {
        reportLoss = ratio;
        return this;
    }

    /** Sends the marked request through a random host at a fixed interval for some time. */
    void run(long millis, int intervalMs) {
        for (long until = nowMs + millis; nowMs < until; step()) {
            if (nowMs % intervalMs == 0) {
                anyHost().start();
            }
            if (nowMs % ROUND_MS == 0) {
                hosts.forEach(Host::reportRound);
                hosts.forEach(h -> h.useStore(store));
            }
        }
    }

    /** Returns how often the marked request was sent and reached an engine later than hosts must know of three ends. */
    int lateSends() {
        if (endsMs.size() < 3) {
            return 0;
        }
        long from = endsMs.get(2) + CONTACT_MS;
        return (int) sendsMs.stream().filter(t -> t > from).count();
    }

    /** Returns how many engines ended under the marked request. */
    int ends() {
        return endsMs.size();
    }

    /** Ends the processes of all hosts at once and starts new ones, which know only what the store holds. */
    void restartAllHosts() {
        List<String> names = hosts.stream().map(Host::toString).toList();
        hosts.clear();
        names.forEach(n -> hosts.add(new Host(n)));
        hosts.forEach(h -> h.useStore(store)); // New requests are held until the rows were read.
    }

    private void step() {
        clock.advanceMs(STEP_MS);
        nowMs += STEP_MS;
        List<Event> due = events.stream().filter(e -> e.atMs <= nowMs).toList();
        events.removeAll(due);
        due.forEach(e -> e.action.run());
        for (Host h : hosts) {
            h.runTimers();
        }
    }

    private void after(int ms, Runnable action) {
        events.add(new Event(nowMs + ms, action));
    }

    private Host anyHost() {
        return hosts.get(random.nextInt(hosts.size()));
    }

    private DiscoveredEndpoint entry(String id) {
        return new DiscoveredEndpoint(id, "app", "10.0.0.1", 80, "a", 64, false, 0, 1 + nowMs, "v1");
    }

    private final class Engine {
        private DiscoveredEndpoint entry;
        private boolean alive = true;

        Engine(DiscoveredEndpoint entry) {
            this.entry = entry;
        }

        void receive(SimulatedAttempt sent, DiscoveredEndpoint expected) {
            if (!alive || !entry.equals(expected)) {
                boolean refused = end != End.SILENT;
                AttemptFailure failure = refused ? AttemptFailure.CONNECT_REFUSED : AttemptFailure.CONNECT_TIMEOUT;
                after(refused ? 1 : CONNECT_TIMEOUT_MS, () -> sent.fail(failure));
                return;
            }
            sendsMs.add(nowMs);
            after(RUN_DELAY_MS, () -> endUnder(sent));
        }

        private void endUnder(SimulatedAttempt sent) {
            if (!alive) {
                return;
            }
            alive = false;
            endsMs.add(nowMs);
            DiscoveredEndpoint ended = entry;
            if (end != End.SILENT) {
                sent.fail(end == End.RESET ? AttemptFailure.CONNECTION_LOST : AttemptFailure.MALFORMED);
                hosts.forEach(h -> h.loseOthers(ended, othersLostPerHost));
            }
            after(ENTRY_EXPIRY_MS, () -> hosts.forEach(h -> h.onRemoved(ended)));
            after(RESTART_MS, this::restart);
        }

        private void restart() {
            DiscoveredEndpoint ended = entry;
            entry = entry(restartsUnderSameId ? entry.id() : "i-" + startedEngines++);
            alive = true;
            hosts.forEach(h -> {
                if (restartsUnderSameId) {
                    h.onRemoved(ended);
                }
                h.loads.onUpdated(entry);
            });
        }
    }

    private final class Host extends SimulatedCrashHost {
        private final List<Call> calls = new ArrayList<>();

        Host(String name) {
            super(name, engines.stream().map(e -> e.entry).toList(), () -> reportLoss < 1, EndpointProbe.NONE, clock);
        }

        void start() {
            Call call = new Call(this);
            calls.add(call);
            call.exchange.start();
            if (callersLeaveAtOnce) {
                call.exchange.onCallerDisconnected();
            }
        }

        void runTimers() {
            calls.removeIf(c -> c.exchange.ended());
            List.copyOf(calls).forEach(Call::runTimer);
        }

        void loseOthers(DiscoveredEndpoint endpoint, int count) {
            for (int i = 0; i < count; i++) {
                crashes.onConnectionLost(nextFingerprint++, endpoint.instanceKey(), clock.nanos());
            }
        }

        void reportRound() {
            loseOthers(engines.get(random.nextInt(engines.size())).entry, unrelatedLossesPerRound);
            report(hosts, () -> random.nextDouble() < reportLoss);
        }
    }

    /** One arrival of the marked request at a host. */
    private final class Call implements ExchangeOutput {
        private final Exchange exchange;
        private long wakeNanos = Long.MAX_VALUE;

        Call(Host host) {
            CatalogService service = new CatalogService("app", "/", 100, 64, 0, 0);
            ExchangeRequest request = new ExchangeRequest(
                    "id",
                    "team",
                    ExchangeFixture.route(routeKind, false),
                    service,
                    1,
                    Optional.empty(),
                    Prompt.NONE,
                    clock.nanos(),
                    1_500,
                    CRASHING);
            exchange = new Exchange(request, host.context, this);
        }

        void runTimer() {
            if (clock.nanos() >= wakeNanos) {
                wakeNanos = Long.MAX_VALUE;
                exchange.onTimer();
            }
        }

        @Override
        public Attempt send(Dispatch dispatch, AttemptListener listener) {
            DiscoveredEndpoint to = dispatch.endpoint();
            Engine engine = engines.stream()
                    .filter(e -> e.entry.id().equals(to.id()))
                    .findFirst()
                    .orElseGet(() -> new Engine(to));
            SimulatedAttempt sent = new SimulatedAttempt(listener);
            engine.receive(sent, to);
            return sent;
        }

        @Override
        public void wakeAt(long nanos) {
            wakeNanos = nanos;
        }

        @Override
        public void forwardHead(ResponseHead head) {}

        @Override
        public void forwardBody(byte[] body) {}

        @Override
        public void finish() {}

        @Override
        public void abort() {}

        @Override
        public void reject(Rejection rejection) {}
    }
}
