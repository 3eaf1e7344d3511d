package org.dragonflygw.core.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.dragonflygw.core.catalog.CatalogService;
import org.dragonflygw.core.discovery.DiscoveredEndpoint;

/**
 * Simulates hosts that share the engines of a service, on virtual time. Each host chooses with an
 * {@link ExpectedTimeChooser} over its own {@link EndpointLoads}; what it knows of the others' requests is as old as
 * their reports. The traffic has long prompts, chats and short tags whose shared subjects are skewed, and doubles for a
 * while; some engines run at half speed, and others appear empty during the run.
 */
final class FleetSimulation {
    private static final long NANOS_PER_MS = 1_000_000;
    private static final double CAP_FACTOR = 2;
    private static final int CAP_SLACK = 3;
    private static final int DEPLOYED_ENGINES = 98;
    private static final double REFRESH_MS = 200;
    private static final double SAMPLE_MS = 50;
    private static final double LINK_MS = 3;
    private static final int SLOW_EVERY = 20;
    private static final int LATE_EVERY = 10;
    private static final double WARM_UP_MS = 5_000;
    private static final double BURST_FROM_MS = 5_000;
    private static final double BURST_TO_MS = 9_000;
    private static final double JOIN_MS = 11_000;
    private static final double END_MS = 15_000;
    private static final List<Kind> KINDS = List.of(
            new Kind(0, 86.1, 10_512, 1_300, 200, 250, 1_519),
            new Kind(1, 123, 699, 130, 60, 350, 408),
            new Kind(2, 135, 2_041, 360, 60, 30, 510));
    private static final CatalogService SERVICE = new CatalogService("llm", "/", 520, 16, 414_661, 18_432);

    private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingDouble(Event::atMs));
    private final SplittableRandom random;
    private final double reportMs;
    private final double startMs;
    private final List<Host> hosts = new ArrayList<>();
    private final List<SimulatedEngine> engines = new ArrayList<>();
    private final int[] reportedInFlight;
    private final long[] reportedUnread;
    private double nowMs;
    private int inFlight;
    private int known;

    private int samples;
    private double peakOverMean;
    private long idleWhileQueued;
    private long engineSamples;
    private int sent;
    private int overBound;
    private int late;
    private int rejected;
    private double firstTokenMs;
    private long sharedTokens;
    private long readAgain;
    private long fetchedTokens;

    private record Event(double atMs, Runnable action) {}

    private record Kind(
            int number, double perSecond, int shared, int own, int subjects, int output, long objectiveMs) {}

    /**
     * Figures of one run.
     *
     * @param peakOverMean mean over time of the load of the most loaded engine, as a multiple of the mean load
     * @param idle share of engine time without a request while requests queue elsewhere
     * @param overBound share of requests sent to an engine over the bound
     * @param readAgain share of the shared tokens of prompts that engines read, rather than find in their caches
     * @param fetched share of the shared tokens of prompts that engines fetched from other engines
     * @param late share of requests whose first token comes after the objective, or that are rejected
     * @param firstTokenMs mean time to the first token
     */
    record Figures(
            double peakOverMean,
            double idle,
            double overBound,
            double readAgain,
            double fetched,
            double late,
            double firstTokenMs) {}

    /**
     * Creates a fleet.
     *
     * @param reportMs time between two reports of a host; what others know of it is half as old on average
     */
    FleetSimulation(int hostCount, int engineCount, double reportMs, long seed) {
        this.random = new SplittableRandom(seed);
        this.reportMs = reportMs;
        this.startMs = WARM_UP_MS + reportMs;
        reportedInFlight = new int[engineCount];
        reportedUnread = new long[engineCount];
        known = engineCount - engineCount / LATE_EVERY;
        for (int e = 0; e < engineCount; e++) {
            engines.add(new SimulatedEngine(e % SLOW_EVERY == SLOW_EVERY - 1 ? 0.5 : 1));
        }
        for (int h = 0; h < hostCount; h++) {
            hosts.add(new Host(hostCount, h));
        }
    }

    private final class Host {
        private final EndpointLoads loads = new EndpointLoads();
        private final int[] ownReported = new int[engines.size()];
        private final long[] ownReportedUnread = new long[engines.size()];
        private final ExpectedTimeChooser chooser;

        Host(int hostCount, int number) {
            chooser = new ExpectedTimeChooser(
                    loads,
                    () -> new DispatchSettings("a", CAP_FACTOR),
                    new FleetSizeSampler(() -> OptionalInt.of(hostCount), new SplittableRandom(number)),
                    new SplittableRandom(number));
            learn(0, known);
        }

        void learn(int from, int to) {
            for (int e = from; e < to; e++) {
                loads.onUpdated(
                        new DiscoveredEndpoint(Integer.toString(e), "llm", "h", 80, "a", 16, false, 0, 1, "v1"));
            }
        }

        List<EndpointLoadState> states() {
            return loads.ofService("llm");
        }

        void publish(double nowMs) {
            for (int e = 0; e < states().size(); e++) {
                EndpointLoadState s = states().get(e);
                reportedInFlight[e] += s.inFlight() - ownReported[e];
                reportedUnread[e] += s.unreadTokens() - ownReportedUnread[e];
                ownReported[e] = s.inFlight();
                ownReportedUnread[e] = s.unreadTokens();
            }
            loads.takeNewHoldings()
                    .forEach(h -> hosts.stream()
                            .filter(o -> o != this)
                            .forEach(o -> o.loads
                                    .get(h.endpoint())
                                    .ifPresent(s -> s.onPromptSentByPeer(h.parts(), nanos(nowMs)))));
            at(nowMs + reportMs, () -> publish(nowMs + reportMs));
        }

        void refresh(double nowMs) {
            for (int e = 0; e < states().size(); e++) {
                states().get(e)
                        .onPeerLoad(
                                new PeerLoad(
                                        reportedInFlight[e] - ownReported[e],
                                        reportedUnread[e] - ownReportedUnread[e],
                                        0,
                                        (long) (reportMs / 2)),
                                nanos(nowMs));
            }
            at(nowMs + REFRESH_MS, () -> refresh(nowMs + REFRESH_MS));
        }

        void send(Kind kind, double nowMs) {
            int subject = (int) (kind.subjects() * Math.pow(random.nextDouble(), 2.5));
            Prompt prompt = new Prompt(
                    List.of(
                            new PromptPart(1 + kind.number() * 1_000 + subject, kind.shared()),
                            new PromptPart(random.nextLong(), kind.own())),
                    kind.shared() + kind.own(),
                    kind.output());
            Choice choice = chooser.choose(
                    new ChoiceRequest(SERVICE, prompt, kind.objectiveMs(), 12_000, Set.of()), nanos(nowMs));
            boolean measured = nowMs >= startMs;
            sent += measured ? 1 : 0;
            if (choice.endpoint().isEmpty()) {
                rejected += measured ? 1 : 0;
                return;
            }
            EndpointLoadState chosen = choice.endpoint().get();
            SimulatedEngine engine = engineOf(chosen.entry());
            if (measured && engine.load() + 1 > CAP_FACTOR * inFlight / known + CAP_SLACK) {
                overBound++;
            }
            inFlight++;
            loads.onSent(chosen, prompt, choice.uncachedTokens(), nanos(nowMs));
            SpeedSample speed = new SpeedSample(chosen, choice.cacheSource().isEmpty(), nanos(nowMs));
            engine.enter(() -> run(kind, prompt, choice, speed, nowMs));
        }

        private void run(Kind kind, Prompt prompt, Choice choice, SpeedSample speed, double sentMs) {
            EndpointLoadState chosen = choice.endpoint().orElseThrow();
            SimulatedEngine engine = engineOf(chosen.entry());
            int cached = engine.cachedTokens(prompt);
            int fetched = choice.cacheSource()
                    .map(s -> engineOf(s).cachedTokens(prompt))
                    .orElse(0);
            double firstMs = engine.read(prompt, fetched, Math.max(nowMs, sentMs)) + LINK_MS;
            double doneMs = firstMs + kind.output() * engine.stepMs();
            if (sentMs >= startMs) {
                sharedTokens += kind.shared();
                readAgain += Math.max(0, kind.shared() - Math.max(cached, fetched));
                fetchedTokens += Math.max(0, fetched - cached);
                firstTokenMs += firstMs - sentMs;
                late += firstMs - sentMs > kind.objectiveMs() ? 1 : 0;
            }
            at(firstMs, () -> {
                chosen.onPromptRead(choice.uncachedTokens());
                chosen.onLoadReport(engine.report(), nanos(firstMs));
                speed.onFirstPart(nanos(firstMs));
            });
            at(doneMs, () -> {
                engine.leave();
                inFlight--;
                chosen.onRequestEnded(prompt);
                speed.onComplete(false, nanos(doneMs));
            });
        }
    }

    private SimulatedEngine engineOf(DiscoveredEndpoint entry) {
        return engines.get(Integer.parseInt(entry.id()));
    }

    private static long nanos(double ms) {
        return (long) (ms * NANOS_PER_MS);
    }

    private void at(double atMs, Runnable action) {
        events.add(new Event(atMs, action));
    }

    private void arrive(Kind kind, double atMs) {
        hosts.get(random.nextInt(hosts.size())).send(kind, atMs);
        double burst = atMs >= startMs + BURST_FROM_MS && atMs < startMs + BURST_TO_MS ? 2 : 1;
        double perMs = kind.perSecond() * burst * engines.size() / DEPLOYED_ENGINES / 1_000;
        double next = atMs - Math.log(1 - random.nextDouble()) / perMs;
        at(next, () -> arrive(kind, next));
    }

    private void sample(double atMs) {
        int peak = 0;
        int idle = 0;
        boolean queued = false;
        for (int e = 0; e < known; e++) {
            peak = Math.max(peak, engines.get(e).load());
            idle += engines.get(e).load() == 0 ? 1 : 0;
            queued |= engines.get(e).queued() > 0;
        }
        samples++;
        peakOverMean += peak / Math.max(1, inFlight / (double) known);
        engineSamples += known;
        idleWhileQueued += queued ? idle : 0;
        at(atMs + SAMPLE_MS, () -> sample(atMs + SAMPLE_MS));
    }

    /** Runs the simulation and returns its figures. */
    Figures run() {
        for (Host h : hosts) {
            double reportAt = random.nextDouble() * reportMs;
            double refreshAt = random.nextDouble() * REFRESH_MS;
            at(reportAt, () -> h.publish(reportAt));
            at(refreshAt, () -> h.refresh(refreshAt));
        }
        KINDS.forEach(k -> at(0, () -> arrive(k, 0)));
        at(startMs, () -> sample(startMs));
        at(startMs + JOIN_MS, () -> {
            hosts.forEach(h -> h.learn(known, engines.size()));
            known = engines.size();
        });
        while (events.peek().atMs() < startMs + END_MS) {
            Event next = events.poll();
            nowMs = next.atMs();
            next.action().run();
        }
        return new Figures(
                peakOverMean / samples,
                idleWhileQueued / (double) engineSamples,
                overBound / (double) sent,
                readAgain / (double) sharedTokens,
                fetchedTokens / (double) sharedTokens,
                (late + rejected) / (double) sent,
                firstTokenMs / Math.max(1, sent - rejected));
    }

    /** Prints the figures of a table of fleets; arguments: seed, then triples of hosts, engines, report interval. */
    public static void main(String[] args) {
        for (int i = 1; i + 2 < args.length; i += 3) {
            long start = System.nanoTime();
            Figures f = new FleetSimulation(
                            Integer.parseInt(args[i]),
                            Integer.parseInt(args[i + 1]),
                            Double.parseDouble(args[i + 2]),
                            Long.parseLong(args[0]))
                    .run();
            System.out.printf(
                    "| %s | %s | %s | %.2f | %.4f | %.4f | %.4f | %.3f | %.4f | %.0f | (%.1f s)%n",
                    args[i],
                    args[i + 1],
                    args[i + 2],
                    f.peakOverMean(),
                    f.idle(),
                    f.overBound(),
                    f.readAgain(),
                    f.fetched(),
                    f.late(),
                    f.firstTokenMs(),
                    (System.nanoTime() - start) / 1e9);
        }
    }
}
