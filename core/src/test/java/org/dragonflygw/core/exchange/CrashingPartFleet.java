package org.dragonflygw.core.exchange;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.dragonflygw.core.ManualMonotonicClock;
import org.dragonflygw.core.catalog.CatalogService;
import org.dragonflygw.core.discovery.DiscoveredEndpoint;
import org.dragonflygw.core.dispatch.Prompt;
import org.dragonflygw.core.dispatch.PromptPart;

/**
 * Hosts on virtual time in front of simulated model engines. An engine ends when it begins to write an answer to a prompt
 * with a marked part; no two of these prompts are alike. Sound prompts share the other parts. Engines can also end for
 * other reasons, or break all answers off without ending.
 */
final class CrashingPartFleet {
    /** Time from the fifth end of an engine after which hosts must know of it, in milliseconds. */
    static final long CONTACT_MS = 3_000;

    /** The parts under which engines end. */
    static final List<Long> MARKED_PARTS = List.of(0xdead01L, 0xdead02L);

    private static final int STEP_MS = 5;
    private static final int ROUND_MS = 200;
    private static final int RESTART_MS = 3_000;
    private static final int SAME_ADDRESS_RESTART_MS = 10;
    private static final int BEFORE_HEAD_MS = 50;
    private static final int ENTRY_EXPIRY_MS = 2_000;
    private static final int EVENTS = 15;
    private static final int EVENT_INTERVAL_MS = 100;
    private static final int SYSTEM_PROMPTS = 5;
    private static final int SUBJECTS = 60;
    private static final long COMPANION = 0x2000L + SUBJECTS / 2;
    private static final long MANY_TOKENS = 1_000_000;

    private final ManualMonotonicClock clock = new ManualMonotonicClock();
    private final SplittableRandom random;
    private final List<Host> hosts = new ArrayList<>();
    private final List<Engine> engines = new ArrayList<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingLong(Event::atMs));
    private final Map<String, SimulatedCrashHost.StoredRow> store = new LinkedHashMap<>();
    private final List<Long> endsMs = new ArrayList<>();
    private final List<Long> markedSendsMs = new ArrayList<>();
    private final List<Long> blockedSoundMs = new ArrayList<>();
    private int markedParts = 1;
    private int markedIntervalMs = 1_000;
    private int soundIntervalMs = 50;
    private boolean endsOfOtherCauses;
    private boolean allEndAtOnce;
    private boolean answersBreakOff;
    private boolean endsSilently;
    private boolean endsBeforeHead;
    private boolean addressAccepts;
    private boolean sameAddress;
    private int chanceOneIn;
    private boolean reportsLost;
    private boolean oneCompanion;
    private int completedSound;
    private int startedEngines;
    private long nextOwnPart = 1L << 40;
    private long nowMs;

    private record Event(long atMs, Runnable action) {}

    CrashingPartFleet(int hostCount, int engineCount, long seed) {
        this.random = new SplittableRandom(seed);
        for (int i = 0; i < engineCount; i++) {
            engines.add(new Engine());
        }
        for (int i = 0; i < hostCount; i++) {
            hosts.add(new Host("h" + i));
        }
    }

    /** Sets how many marked parts there are, and the mean time between two prompts with one, in milliseconds; 0 for none. */
    CrashingPartFleet marked(int parts, int intervalMs) {
        markedParts = parts;
        markedIntervalMs = intervalMs;
        return this;
    }

    /** Engines also end at random, one a second, and three at once every five seconds. */
    CrashingPartFleet enginesEndForOtherCauses() {
        endsOfOtherCauses = true;
        return this;
    }

    /** All engines end at once, every six seconds. */
    CrashingPartFleet allEnginesEndAtOnce() {
        allEndAtOnce = true;
        return this;
    }

    /** Engines break off nine in ten answers as they begin, and live on. */
    CrashingPartFleet answersBreakOff() {
        answersBreakOff = true;
        return this;
    }

    /** The connections to an engine that ends fall silent and are not reset. */
    CrashingPartFleet endsSilently() {
        endsSilently = true;
        return this;
    }

    /** An engine ends before it has written anything of the answer. */
    CrashingPartFleet endsBeforeHead() {
        endsBeforeHead = true;
        return this;
    }

    /** The address of an engine that has ended still accepts connections. */
    CrashingPartFleet addressAccepts() {
        addressAccepts = true;
        return this;
    }

    /** An engine that ends comes back at once, at its address and under another id. */
    CrashingPartFleet comesBackAtTheSameAddress() {
        sameAddress = true;
        return this;
    }

    /** One sound prompt in so many ends its engine by chance. */
    CrashingPartFleet soundPromptsEndEngines(int oneIn) {
        chanceOneIn = oneIn;
        return this;
    }

    /** Sets the mean time between two sound prompts, in milliseconds. */
    CrashingPartFleet sound(int intervalMs) {
        soundIntervalMs = intervalMs;
        return this;
    }

    /** The marked part always stands beside the same other part, which sound prompts hold rarely. */
    CrashingPartFleet besideOneCompanion() {
        oneCompanion = true;
        return this;
    }

    /** Hosts reach the store but not each other. */
    CrashingPartFleet reportsLost() {
        reportsLost = true;
        return this;
    }

    /** Ends the processes of all hosts at once and starts new ones, which know only what the store holds. */
    void restartAllHosts() {
        List<String> names = hosts.stream().map(Host::toString).toList();
        hosts.clear();
        names.forEach(n -> hosts.add(new Host(n)));
        hosts.forEach(h -> h.useStore(store)); // New requests are held until the rows were read.
    }

    /** Runs traffic for some time. */
    void run(long millis) {
        if (nowMs == 0) {
            scheduleArrivals();
        }
        for (long until = nowMs + millis; nowMs < until; step()) {
            if (nowMs % ROUND_MS == 0) {
                hosts.forEach(h -> h.report(hosts, () -> reportsLost));
                hosts.forEach(h -> h.useStore(store));
            }
        }
    }

    private void scheduleArrivals() {
        after(soundIntervalMs, this::arriveSound);
        if (markedIntervalMs > 0) {
            after(markedIntervalMs, this::arriveMarked);
        }
        if (endsOfOtherCauses) {
            after(1_000, this::endOne);
            after(5_000, this::endThree);
        }
        if (allEndAtOnce) {
            after(6_000, this::endAll);
        }
    }

    private void arriveSound() {
        anyHost().start(prompt(List.of(systemPrompt(), subject())), false);
        after(randomInterval(soundIntervalMs), this::arriveSound);
    }

    private void arriveMarked() {
        long marked = MARKED_PARTS.get(random.nextInt(markedParts));
        long companion = oneCompanion ? COMPANION : subject();
        List<Long> parts = oneCompanion || random.nextBoolean()
                ? List.of(systemPrompt(), companion, marked)
                : List.of(systemPrompt(), marked, companion);
        anyHost().start(prompt(parts), true);
        after(randomInterval(markedIntervalMs), this::arriveMarked);
    }

    private int randomInterval(int meanMs) {
        return Math.max(STEP_MS, (int) (-Math.log(1 - random.nextDouble()) * meanMs));
    }

    private void endOne() {
        engines.get(random.nextInt(engines.size())).end();
        after(randomInterval(1_000), this::endOne);
    }

    private void endThree() {
        for (int i = 0; i < 3; i++) {
            engines.get(random.nextInt(engines.size())).end();
        }
        after(5_000, this::endThree);
    }

    private void endAll() {
        engines.forEach(Engine::end);
        after(6_000, this::endAll);
    }

    /** The first system prompts are the most popular. */
    private long systemPrompt() {
        return 0x1000L + Math.min(random.nextInt(SYSTEM_PROMPTS), random.nextInt(SYSTEM_PROMPTS));
    }

    private long subject() {
        return 0x2000L + Math.min(random.nextInt(SUBJECTS), random.nextInt(SUBJECTS));
    }

    private Prompt prompt(List<Long> shared) {
        List<PromptPart> parts = new ArrayList<>();
        shared.forEach(id -> parts.add(new PromptPart(id, 800)));
        parts.add(new PromptPart(nextOwnPart++, 100));
        return new Prompt(parts, parts.size() * 800, 400);
    }

    private boolean isMarked(Prompt prompt) {
        return prompt.parts().stream().anyMatch(p -> MARKED_PARTS.contains(p.id()));
    }

    /** Returns how many prompts with a marked part reached an engine later than hosts must know of five ends. */
    int lateSends() {
        if (endsMs.size() < 5) {
            return 0;
        }
        long from = endsMs.get(4) + CONTACT_MS;
        return (int) markedSendsMs.stream().filter(t -> t > from).count();
    }

    /** Returns how many engines ended under a marked part. */
    int ends() {
        return endsMs.size();
    }

    /** Returns how many sound prompts were refused as ending engines. */
    int blockedSound() {
        return blockedSoundMs.size();
    }

    /** Returns how many sound prompts were answered. */
    int completedSound() {
        return completedSound;
    }

    private void step() {
        clock.advanceMs(STEP_MS);
        nowMs += STEP_MS;
        while (!events.isEmpty() && events.peek().atMs <= nowMs) {
            events.poll().action.run();
        }
        hosts.forEach(Host::runTimers);
    }

    private void after(int ms, Runnable action) {
        events.add(new Event(nowMs + ms, action));
    }

    private void probe(DiscoveredEndpoint endpoint, Consumer<EndpointProbe.Result> listener) {
        after(STEP_MS, () -> {
            boolean alive = engines.stream().anyMatch(e -> e.runs(endpoint));
            EndpointProbe.Result gone = endsSilently ? EndpointProbe.Result.UNKNOWN : EndpointProbe.Result.ENDED;
            if (addressAccepts || sameAddress) {
                gone = EndpointProbe.Result.ALIVE;
            }
            listener.accept(alive ? EndpointProbe.Result.ALIVE : gone);
        });
    }

    private Host anyHost() {
        return hosts.get(random.nextInt(hosts.size()));
    }

    private final class Engine {
        private final List<Sent> open = new ArrayList<>();
        private DiscoveredEndpoint entry;
        private boolean alive = true;

        Engine() {
            entry = newEntry();
        }

        private DiscoveredEndpoint newEntry() {
            return new DiscoveredEndpoint(
                    "i-" + startedEngines++, "llm", "10.0.0.1", 80, "a", 64, false, 0, 1 + nowMs, "v1");
        }

        boolean runs(DiscoveredEndpoint expected) {
            return alive && entry.equals(expected);
        }

        void receive(Sent sent) {
            open.add(sent);
            if (isMarked(sent.prompt)) {
                markedSendsMs.add(nowMs);
            }
            boolean byChance = chanceOneIn > 0 && random.nextInt(chanceOneIn) == 0;
            if (byChance || (endsBeforeHead && isMarked(sent.prompt))) {
                after(BEFORE_HEAD_MS, byChance ? this::end : () -> endUnder(sent));
                return;
            }
            after(100 + random.nextInt(300), () -> begin(sent));
        }

        private void begin(Sent sent) {
            if (!open.contains(sent)) {
                return;
            }
            sent.head(ExchangeFixture.signedHead(200));
            if (isMarked(sent.prompt)) {
                after(90, () -> endUnder(sent));
                return;
            }
            if (answersBreakOff && random.nextInt(10) > 0) {
                after(20, () -> lose(sent));
                return;
            }
            after(EVENT_INTERVAL_MS, () -> write(sent, 1));
        }

        private void write(Sent sent, int event) {
            if (!open.contains(sent)) {
                return;
            }
            sent.body(("id: " + event + "\ndata: x\n\n").getBytes(StandardCharsets.UTF_8));
            if (event < EVENTS) {
                after(EVENT_INTERVAL_MS, () -> write(sent, event + 1));
                return;
            }
            open.remove(sent);
            completedSound++;
            sent.complete();
        }

        private void endUnder(Sent sent) {
            if (open.contains(sent)) {
                endsMs.add(nowMs);
                end();
            }
        }

        void end() {
            if (!alive) {
                return;
            }
            alive = false;
            DiscoveredEndpoint ended = entry;
            List<Sent> lost = List.copyOf(open);
            open.clear();
            if (!endsSilently) {
                after(STEP_MS, () -> lost.forEach(c -> c.fail(AttemptFailure.CONNECTION_LOST)));
            }
            after(ENTRY_EXPIRY_MS, () -> hosts.forEach(h -> h.onRemoved(ended)));
            after(sameAddress ? SAME_ADDRESS_RESTART_MS : RESTART_MS, () -> restart(ended));
        }

        private void lose(Sent sent) {
            if (open.remove(sent)) {
                sent.fail(AttemptFailure.CONNECTION_LOST);
            }
        }

        private void restart(DiscoveredEndpoint former) {
            entry = newEntry();
            alive = true;
            hosts.forEach(h -> h.loads.onUpdated(entry));
            if (sameAddress) {
                hosts.forEach(h -> h.onAddressTaken(former));
            }
        }
    }

    private final class Host extends SimulatedCrashHost {
        private final List<Call> calls = new ArrayList<>();

        Host(String name) {
            super(
                    name,
                    engines.stream().map(e -> e.entry).toList(),
                    () -> !reportsLost,
                    CrashingPartFleet.this::probe,
                    clock);
        }

        void start(Prompt prompt, boolean marked) {
            Call call = new Call(this, prompt, marked);
            calls.add(call);
            call.exchange.start();
        }

        void runTimers() {
            calls.removeIf(c -> c.exchange.ended());
            List.copyOf(calls).forEach(Call::runTimer);
        }
    }

    /** One prompt at a host. */
    private final class Call implements ExchangeOutput {
        private final Prompt prompt;
        private final boolean marked;
        private final Exchange exchange;
        private long wakeNanos = Long.MAX_VALUE;

        Call(Host host, Prompt prompt, boolean marked) {
            this.prompt = prompt;
            this.marked = marked;
            CatalogService service = new CatalogService("llm", "/", 360, 64, MANY_TOKENS, 0);
            ExchangeRequest request = new ExchangeRequest(
                    "id",
                    "team",
                    ExchangeFixture.streamingRoute(),
                    service,
                    1,
                    Optional.empty(),
                    prompt,
                    clock.nanos(),
                    TimeUnit.SECONDS.toMillis(10),
                    nextOwnPart);
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
            Optional<Engine> engine = engines.stream().filter(e -> e.runs(to)).findFirst();
            Sent sent = new Sent(prompt, engine, listener);
            engine.ifPresentOrElse(
                    e -> e.receive(sent), () -> after(STEP_MS, () -> sent.fail(AttemptFailure.CONNECT_REFUSED)));
            return sent;
        }

        @Override
        public void wakeAt(long nanos) {
            wakeNanos = nanos;
        }

        @Override
        public void reject(Rejection rejection) {
            if (!marked && rejection.reason().name().startsWith("CRASH")) {
                blockedSoundMs.add(nowMs);
            }
        }

        @Override
        public void forwardHead(ResponseHead head) {}

        @Override
        public void forwardBody(byte[] body) {}

        @Override
        public void finish() {}

        @Override
        public void abort() {}
    }
    /** A prompt at an engine, which works on it while it is among the engine's open ones; without one, none is there. */
    private static final class Sent extends SimulatedAttempt {
        private final Prompt prompt;
        private final Optional<Engine> engine;

        Sent(Prompt prompt, Optional<Engine> engine, AttemptListener listener) {
            super(listener);
            this.prompt = prompt;
            this.engine = engine;
        }

        @Override
        public boolean cancel() {
            engine.ifPresent(e -> e.open.remove(this));
            return super.cancel();
        }
    }
}
