package org.dragonflygw.core.exchange;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.dragonflygw.core.catalog.CatalogRoute;
import org.dragonflygw.core.catalog.CatalogService;
import org.dragonflygw.core.catalog.RouteKind;
import org.dragonflygw.core.catalog.WeightedService;
import org.dragonflygw.core.discovery.DiscoveredEndpoint;
import org.dragonflygw.core.dispatch.Prompt;
import org.dragonflygw.core.peers.HostRanking;
import org.dragonflygw.core.resume.OriginReply;
import org.dragonflygw.core.resume.OriginTransport;
import org.dragonflygw.core.resume.SoftwareVersions;
import org.dragonflygw.core.resume.StreamOrigin;
import org.dragonflygw.core.resume.StreamOrigins;

/**
 * Hosts on virtual time in front of simulated engines of several software versions, which write a version's name into each
 * event. Callers whose connection breaks come back at another host, up to a few times, and name the attempt that brought
 * their first event.
 */
final class VersionedStreamFleet {
    private static final CatalogService SERVICE = new CatalogService("app", "/", 100, 64, 300_000, 0);
    private static final int EVENTS = 30;
    private static final int FIRST_EVENT_MS = 60;
    private static final int EVENT_MS = 50;
    private static final int DEADLINE_MS = 15_000;
    private static final int MAX_RETURNS = 3;
    private static final int RETURN_MS = 30;
    private static final int REPLY_TIMEOUT_MS = 200;
    private static final int CRASH_RESTART_MS = 2_000;

    private final SimulatedNetwork network;
    private final List<Engine> engines = new ArrayList<>();
    private final List<Caller> callers = new ArrayList<>();
    private int resumes;
    private int resumesThatWentOn;
    private int refusedResumes;
    private int messages;
    private int cutStreams;

    VersionedStreamFleet(int hostCount, int firstVersionEngines, int secondVersionEngines, long seed) {
        network = new SimulatedNetwork(seed);
        for (int i = 0; i < firstVersionEngines + secondVersionEngines; i++) {
            engines.add(new Engine("i-" + i, i < firstVersionEngines ? "v1" : "v2"));
        }
        for (int i = 0; i < hostCount; i++) {
            network.hosts().add(new Host("h" + i));
        }
        network.hosts().forEach(SimulatedHost::learnPeers);
    }

    VersionedStreamFleet messageLoss(double ratio) {
        network.messageLoss(ratio);
        return this;
    }

    /** Runs with new streams at a mean rate. */
    void run(long millis, double streamsPerSecond) {
        long until = network.nowMs() + millis;
        double at = network.nowMs();
        while (true) {
            at += -Math.log(1 - network.random.nextDouble()) * 1_000 / streamsPerSecond;
            if (at >= until) {
                break;
            }
            network.after((long) at - network.nowMs(), () -> {
                Caller c = new Caller(callers.size());
                callers.add(c);
                c.send();
            });
        }
        network.run(millis);
    }

    /** Resets the connections of callers at some hosts. */
    void resetConnections(int firstHost, int endHost) {
        for (int i = firstHost; i < endHost; i++) {
            host(i).resetConnections();
        }
    }

    /** Ends the processes of some hosts at once and starts new ones, which know only the list of hosts. */
    void restart(int firstHost, int endHost) {
        for (int i = firstHost; i < endHost; i++) {
            Host old = host(i);
            old.alive = false;
            old.resetConnections();
            network.hosts().set(i, new Host(old.name));
        }
        for (int i = firstHost; i < endHost; i++) {
            host(i).learnPeers();
        }
    }

    /** Cuts hosts off from all other hosts, or ends the cut; callers and engines reach them. */
    void cutOff(int firstHost, int endHost, boolean cut) {
        for (int i = firstHost; i < endHost; i++) {
            host(i).cutOff = cut;
        }
    }

    /** Ends engines, whose entries stay; they start again a while later. */
    void crashEngines(int first, int end) {
        engines.subList(first, end).forEach(Engine::crash);
    }

    /** Lets engines send nothing for a while, after which they go on. */
    void silenceEngines(int first, int end, long millis) {
        engines.subList(first, end).forEach(e -> e.silentUntilMs = network.nowMs() + millis);
    }

    /** Lets engines turn all new requests away for a while. */
    void fillEngines(int first, int end, long millis) {
        engines.subList(first, end).forEach(e -> e.fullUntilMs = network.nowMs() + millis);
    }

    /** Removes engines for good, with their entries. */
    void removeEngines(int first, int end) {
        for (Engine e : engines.subList(first, end)) {
            e.alive = false;
            e.listed = false;
            List.copyOf(e.open).forEach(Sent::breakOff);
            network.hosts().forEach(h -> ((Host) h).onRemoved(e.entry));
        }
    }

    /** Returns the callers that got events of two versions. */
    long joined() {
        return callers.stream().filter(c -> c.versions.size() > 1).count();
    }

    /** Returns how many attempts took up a stream. */
    int resumes() {
        return resumes;
    }

    /** Returns how many messages hosts sent about the beginnings of streams. */
    int messages() {
        return messages;
    }

    /** Returns how many streams a host has cut that had begun. */
    int cutStreams() {
        return cutStreams;
    }

    int refusedResumes() {
        return refusedResumes;
    }

    /** Returns the share of the attempts that took up a stream and brought its next event. */
    double shareThatWentOn() {
        return resumes == 0 ? 1 : (double) resumesThatWentOn / resumes;
    }

    /** Returns how many streams have a repeated or a missing event. */
    long wrongEvents() {
        return callers.stream().filter(c -> c.wrong).count();
    }

    private Host host(int number) {
        return (Host) network.hosts().get(number);
    }

    private static CatalogRoute route() {
        List<WeightedService> services = List.of(new WeightedService("app", 1));
        return new CatalogRoute(
                "r", "h", "/p/", RouteKind.STREAMING, DEADLINE_MS, 100, 1, services, 2, false, false, true, 400);
    }

    private final class Engine {
        private final DiscoveredEndpoint entry;
        private final List<Sent> open = new ArrayList<>();
        private boolean alive = true;
        private boolean listed = true;
        private long silentUntilMs;
        private long fullUntilMs;

        Engine(String id, String version) {
            entry = new DiscoveredEndpoint(id, "app", "10.0.0.1", 80, "a", 64, false, 0, 1, version);
        }

        void receive(Sent sent, int after) {
            if (!alive) {
                network.after(1, () -> sent.fail(AttemptFailure.CONNECT_REFUSED));
                return;
            }
            if (network.nowMs() < fullUntilMs) {
                network.after(1, () -> sent.head(ExchangeFixture.notExecutedHead(503)));
                return;
            }
            open.add(sent);
            network.after(FIRST_EVENT_MS / 2, () -> begin(sent, after));
        }

        private void begin(Sent sent, int after) {
            if (network.nowMs() < silentUntilMs) {
                network.after(silentUntilMs - network.nowMs(), () -> begin(sent, after));
                return;
            }
            sent.head(ExchangeFixture.signedHead(200));
            network.after(FIRST_EVENT_MS / 2, () -> write(sent, after + 1));
        }

        private void write(Sent sent, int number) {
            if (network.nowMs() < silentUntilMs) {
                network.after(silentUntilMs - network.nowMs(), () -> write(sent, number));
            } else if (number > EVENTS) {
                sent.complete();
            } else {
                sent.event(number);
                network.after(EVENT_MS, () -> write(sent, number + 1));
            }
        }

        void crash() {
            alive = false;
            List.copyOf(open).forEach(Sent::breakOff);
            network.after(CRASH_RESTART_MS, () -> alive = true);
        }
    }

    private final class Host extends SimulatedHost implements OriginTransport {
        private final ExchangeContext context;
        private final SoftwareVersions versions;
        private final StreamOrigins origins;
        private final List<Call> calls = new ArrayList<>();

        Host(String name) {
            super(name, network);
            this.versions = new SoftwareVersions(() -> 0, network.clock);
            this.origins = new StreamOrigins(
                    name,
                    new HostRanking(name, peers::rankedHosts, network.clock),
                    peers::mayBeUp,
                    versions,
                    this,
                    network.clock);
            engines.stream().filter(e -> e.listed).forEach(e -> onListed(e.entry));
            this.context = ExchangeFixture.context(
                    loads, ExchangeFixture.PERMITS, origins, crashes, parts, EndpointProbe.NONE, network.clock);
        }

        void onListed(DiscoveredEndpoint endpoint) {
            loads.onUpdated(endpoint);
            versions.onUpdated(endpoint);
        }

        @Override
        public void tell(List<String> hosts, String attempt, StreamOrigin origin) {
            messages += hosts.size();
            for (String h : hosts) {
                Host to = (Host) network.named(h);
                network.deliver(this, to, () -> to.origins.onTold(attempt, origin));
            }
        }

        @Override
        public void ask(String host, String attempt, String service, Consumer<Optional<OriginReply>> listener) {
            messages++;
            network.ask(
                    this,
                    host,
                    () -> ((Host) network.named(host)).origins.reply(attempt, service),
                    REPLY_TIMEOUT_MS,
                    listener);
        }

        void onRemoved(DiscoveredEndpoint endpoint) {
            loads.onRemoved(endpoint);
            versions.onRemoved(endpoint);
        }

        void resetConnections() {
            List.copyOf(calls).forEach(Call::resetByNetwork);
            calls.clear();
        }
    }

    /** One caller, who wants one whole stream. */
    private final class Caller {
        private final int number;
        private final TreeSet<String> versions = new TreeSet<>();
        private String originAttempt = "";
        private int lastEvent;
        private int attempts;
        private boolean wrong;
        private boolean done;

        Caller(int number) {
            this.number = number;
        }

        void send() {
            Host host = host(network.random.nextInt(network.hosts().size()));
            attempts++;
            if (lastEvent > 0) {
                resumes++;
            }
            Call call = new Call(host, this, "a" + number + "-" + attempts);
            host.calls.add(call);
            call.exchange.start();
        }

        void onEvent(String attempt, int event, String version) {
            if (originAttempt.isEmpty()) {
                originAttempt = attempt;
            }
            wrong |= event != lastEvent + 1;
            lastEvent = event;
            versions.add(version);
        }

        void comeBack() {
            if (!done && attempts <= MAX_RETURNS) {
                network.after(RETURN_MS, this::send);
            }
        }
    }

    private final class Call implements ExchangeOutput {
        private final Host host;
        private final Caller caller;
        private final String id;
        private final Exchange exchange;
        private final boolean takesUp;
        private boolean broughtEvent;
        private boolean ended;
        private long wakeNanos;

        Call(Host host, Caller caller, String id) {
            this.host = host;
            this.caller = caller;
            this.id = id;
            this.takesUp = caller.lastEvent > 0;
            Optional<Resumption> resumption = takesUp
                    ? Optional.of(new Resumption(caller.originAttempt, Integer.toString(caller.lastEvent)))
                    : Optional.empty();
            ExchangeRequest request = new ExchangeRequest(
                    id,
                    "team",
                    route(),
                    SERVICE,
                    1,
                    resumption,
                    new Prompt(List.of(), 900, 50),
                    network.clock.nanos(),
                    DEADLINE_MS,
                    caller.number + 1);
            exchange = new Exchange(request, host.context, this);
        }

        /** The connection between caller and host has broken. */
        void resetByNetwork() {
            if (ended) {
                return;
            }
            ended = true;
            if (host.alive) {
                exchange.onCallerDisconnected();
            }
            caller.comeBack();
        }

        private void end() {
            ended = true;
            host.calls.remove(this);
        }

        @Override
        public Attempt send(Dispatch dispatch, AttemptListener listener) {
            Engine engine = engines.stream()
                    .filter(e -> e.entry.id().equals(dispatch.endpoint().id()))
                    .findFirst()
                    .orElseThrow();
            int after = dispatch.resumeAfter().map(Integer::parseInt).orElse(takesUp ? caller.lastEvent : 0);
            Sent sent = new Sent(this, engine, listener);
            engine.receive(sent, after);
            return sent;
        }

        @Override
        public void forwardHead(ResponseHead head) {}

        @Override
        public void forwardBody(byte[] body) {
            for (String event : new String(body, StandardCharsets.UTF_8).split("\n\n", -1)) {
                if (event.isEmpty()) {
                    continue;
                }
                if (takesUp && !broughtEvent) {
                    resumesThatWentOn++;
                }
                broughtEvent = true;
                String[] lines = event.split("\n", -1);
                caller.onEvent(id, Integer.parseInt(lines[0].substring(4)), lines[1].substring(6));
            }
        }

        @Override
        public void finish() {
            caller.done = true;
            end();
        }

        @Override
        public void abort() {
            cutStreams++;
            end();
            caller.comeBack();
        }

        @Override
        public void reject(Rejection rejection) {
            end();
            if (takesUp) {
                refusedResumes++;
            }
            if (rejection.retryAfterMs() > 0) {
                network.after(rejection.retryAfterMs(), caller::comeBack);
            }
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
    /** An attempt of a call at an engine, which works on it while it is among the engine's open ones. */
    private static final class Sent extends SimulatedAttempt {
        private final Call call;
        private final Engine engine;

        Sent(Call call, Engine engine, AttemptListener listener) {
            super(listener);
            this.call = call;
            this.engine = engine;
        }

        @Override
        boolean isOpen() {
            return super.isOpen() && call.host.alive && !call.ended;
        }

        void event(int number) {
            body(("id: " + number + "\ndata: " + engine.entry.version() + "\n\n").getBytes(StandardCharsets.UTF_8));
        }

        @Override
        void complete() {
            engine.open.remove(this);
            super.complete();
        }

        /** The engine has ended. */
        void breakOff() {
            engine.open.remove(this);
            fail(AttemptFailure.CONNECTION_LOST);
        }

        @Override
        public boolean cancel() {
            engine.open.remove(this);
            return super.cancel();
        }
    }
}
