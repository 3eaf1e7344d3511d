package org.dragonflygw.core.exchange;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.dragonflygw.core.catalog.CatalogService;
import org.dragonflygw.core.discovery.DiscoveredEndpoint;
import org.dragonflygw.core.dispatch.Choice;
import org.dragonflygw.core.dispatch.ChoiceRequest;
import org.dragonflygw.core.dispatch.DispatchSettings;
import org.dragonflygw.core.dispatch.EndpointLoadState;
import org.dragonflygw.core.dispatch.EndpointLoads;
import org.dragonflygw.core.dispatch.ExpectedTimeChooser;
import org.dragonflygw.core.dispatch.LoadReport;
import org.dragonflygw.core.dispatch.PeerLoad;
import org.dragonflygw.core.dispatch.Prompt;
import org.dragonflygw.core.dispatch.PromptPart;
import org.dragonflygw.core.log.NoOpEventLog;
import org.dragonflygw.core.ratelimit.RateNotice;

/**
 * Hosts on virtual time in front of engines that say that they are brittle, lower their queues a while later, and end when
 * they have to reject too many requests in a second. What hosts know of each other's requests is as old as their reports.
 */
final class BrittleFleet {
    /** Time at which engines begin to say that they are brittle, in milliseconds. */
    private static final double BRITTLE_MS = 5_000;

    /** Time at which engines lower their queues, in milliseconds. */
    private static final double LOWERED_MS = BRITTLE_MS + 3_000;

    private static final double END_MS = LOWERED_MS + 20_000;
    private static final double COUNTED_UNTIL_MS = END_MS - 5_000;
    private static final double DOWN_MS = 4_000;
    private static final double WINDOW_MS = 1_000;
    private static final double WORK_MS = 1_000;
    private static final double LINK_MS = 2;
    private static final double REFRESH_MS = 200;
    private static final double BLOCK_MS = 1_500;
    private static final int QUEUE_PER_SLOT = 3;
    private static final int LOWERED_QUEUE = 2;
    private static final int SUBJECTS = 40;
    private static final long NANOS_PER_MS = 1_000_000;
    private static final String SERVICE = "llm";

    private final PriorityQueue<Event> events = new PriorityQueue<>((a, b) -> Double.compare(a.atMs, b.atMs));
    private final List<Engine> engines = new ArrayList<>();
    private final List<Host> hosts = new ArrayList<>();
    private final SplittableRandom random;
    private final CatalogService service;
    private final int slots;
    private final int borne;
    private final double reportMs;
    private final int[] reported;
    private double nowMs;
    private int falls;
    private int asked;
    private int served;

    private record Event(double atMs, Runnable action) {}

    /**
     * Creates a fleet.
     *
     * @param borne rejections in a second that an engine bears
     * @param reportMs time between two reports of a host
     */
    BrittleFleet(int hostCount, int engineCount, int slots, int borne, double reportMs, long seed) {
        this.slots = slots;
        this.borne = borne;
        this.reportMs = reportMs;
        random = new SplittableRandom(seed);
        service = new CatalogService(SERVICE, "/", 520, slots, 400_000, 0);
        reported = new int[engineCount];
        for (int i = 0; i < engineCount; i++) {
            engines.add(new Engine());
        }
        for (int i = 0; i < hostCount; i++) {
            hosts.add(new Host(hostCount, i));
        }
    }

    private final class Engine {
        private final Deque<Double> rejections = new ArrayDeque<>();
        private int load;
        private double downUntilMs;
        private int starts;

        boolean isDown() {
            return nowMs < downUntilMs;
        }

        boolean takes() {
            int queue = nowMs < LOWERED_MS ? QUEUE_PER_SLOT * slots : LOWERED_QUEUE;
            return load < slots + queue;
        }

        void onRejection() {
            rejections.addLast(nowMs);
            while (nowMs - rejections.peekFirst() >= WINDOW_MS) {
                rejections.pollFirst();
            }
            if (nowMs >= LOWERED_MS && rejections.size() > borne) {
                falls++;
                downUntilMs = nowMs + DOWN_MS;
                load = 0;
                starts++;
                rejections.clear();
            }
        }

        ResponseHead head(boolean rejection) {
            EndpointNotice notice = new EndpointNotice(
                    false, 0, RateNotice.UNLIMITED, 0, nowMs < BRITTLE_MS ? EndpointNotice.STURDY : borne);
            LoadReport report = new LoadReport(Math.min(load, slots), Math.max(0, load - slots), slots);
            return new ResponseHead(
                    rejection ? 503 : 200, true, rejection, false, 0, false, Optional.of(report), notice, List.of());
        }
    }

    private final class Host {
        private final EndpointLoads loads = new EndpointLoads();
        private final EndpointNotices notices;
        private final ExpectedTimeChooser chooser;
        private final int[] ownReported = new int[engines.size()];

        Host(int hostCount, int number) {
            notices = new EndpointNotices(
                    loads,
                    (endpoint, leftMs) -> {},
                    new RejectionPauses(() -> OptionalInt.of(hostCount), new SplittableRandom(number)),
                    new NoOpEventLog(),
                    BrittleFleet.this::nowNanos);
            chooser = new ExpectedTimeChooser(
                    loads, () -> new DispatchSettings("a", 2), (all, now) -> all, new SplittableRandom(number));
            for (int i = 0; i < engines.size(); i++) {
                loads.onUpdated(new DiscoveredEndpoint(
                        Integer.toString(i), SERVICE, "10.0.0.1", 80, "a", slots, false, 0, 1, "v1"));
            }
        }

        void publish() {
            for (int i = 0; i < engines.size(); i++) {
                int inFlight = loads.ofService(SERVICE).get(i).inFlight();
                reported[i] += inFlight - ownReported[i];
                ownReported[i] = inFlight;
            }
            after(reportMs, this::publish);
        }

        void refresh() {
            for (int i = 0; i < engines.size(); i++) {
                PeerLoad load = new PeerLoad(reported[i] - ownReported[i], 0, 0, (long) (reportMs / 2));
                loads.ofService(SERVICE).get(i).onPeerLoad(load, nowNanos());
            }
            after(REFRESH_MS, this::refresh);
        }

        void receive() {
            asked += isCounted(nowMs) ? 1 : 0;
            int subject = 1 + random.nextInt(SUBJECTS);
            Prompt prompt =
                    new Prompt(List.of(new PromptPart(subject, 600), new PromptPart(random.nextLong(), 100)), 700, 200);
            attempt(prompt, Set.of());
        }

        private void attempt(Prompt prompt, Set<String> failed) {
            Choice choice = chooser.choose(new ChoiceRequest(service, prompt, 800, 10_000, failed), nowNanos());
            choice.endpoint().ifPresent(e -> send(e, prompt, choice, failed));
        }

        private void send(EndpointLoadState e, Prompt prompt, Choice choice, Set<String> failed) {
            Engine engine = engines.get(Integer.parseInt(e.entry().id()));
            loads.onSent(e, prompt, choice.uncachedTokens(), nowNanos());
            double sentMs = nowMs;
            after(LINK_MS, () -> arrive(engine, e, prompt, choice, failed, sentMs));
        }

        private void arrive(
                Engine engine, EndpointLoadState e, Prompt prompt, Choice choice, Set<String> failed, double sentMs) {
            if (engine.isDown()) {
                e.blockUntil(nowNanos() + (long) (BLOCK_MS * NANOS_PER_MS));
                end(e, prompt, choice);
                return;
            }
            if (!engine.takes()) {
                ResponseHead head = engine.head(true);
                engine.onRejection();
                after(LINK_MS, () -> onRejected(e, prompt, choice, failed, head, sentMs));
                return;
            }
            engine.load++;
            int start = engine.starts;
            double workMs = -Math.log(1 - random.nextDouble()) * WORK_MS;
            after(LINK_MS, () -> {
                e.onPromptRead(choice.uncachedTokens());
                ResponseHead head = engine.head(false);
                head.load().ifPresent(l -> e.onLoadReport(l, nowNanos()));
                notices.accept(e.entry(), head, "r", (long) (sentMs * NANOS_PER_MS));
            });
            after(LINK_MS + workMs, () -> {
                e.onRequestEnded(prompt);
                if (engine.starts == start) {
                    engine.load--;
                    served += isCounted(sentMs) ? 1 : 0;
                }
            });
        }

        private void onRejected(
                EndpointLoadState e,
                Prompt prompt,
                Choice choice,
                Set<String> failed,
                ResponseHead head,
                double sentMs) {
            head.load().ifPresent(l -> e.onLoadReport(l, nowNanos()));
            notices.accept(e.entry(), head, "r", (long) (sentMs * NANOS_PER_MS));
            e.onFailure(head.rejectionWeight(), nowNanos());
            end(e, prompt, choice);
            if (failed.isEmpty() && !loads.isBrittle(SERVICE, nowNanos())) {
                attempt(prompt, Set.of(e.entry().id()));
            }
        }

        private void end(EndpointLoadState e, Prompt prompt, Choice choice) {
            e.onPromptRead(choice.uncachedTokens());
            e.onRequestEnded(prompt);
        }
    }

    private static boolean isCounted(double atMs) {
        return atMs >= LOWERED_MS && atMs < COUNTED_UNTIL_MS;
    }

    private long nowNanos() {
        return (long) (nowMs * NANOS_PER_MS);
    }

    private void after(double ms, Runnable action) {
        events.add(new Event(nowMs + ms, action));
    }

    private void arrive(double perMs) {
        hosts.get(random.nextInt(hosts.size())).receive();
        after(-Math.log(1 - random.nextDouble()) / perMs, () -> arrive(perMs));
    }

    /** Runs with a rate of requests as a share of what the slots of all engines can work off. */
    BrittleFleet run(double demand) {
        for (Host h : hosts) {
            after(random.nextDouble() * reportMs, h::publish);
            after(random.nextDouble() * REFRESH_MS, h::refresh);
        }
        double perMs = demand * engines.size() * slots / WORK_MS;
        after(0, () -> arrive(perMs));
        while (events.peek().atMs < END_MS) {
            Event next = events.poll();
            nowMs = next.atMs;
            next.action.run();
        }
        return this;
    }

    /** Returns how often an engine ended for rejecting too much after the queues were lowered. */
    int falls() {
        return falls;
    }

    /** Returns the share of the requests after the queues were lowered that were served. */
    double servedShare() {
        return served / (double) asked;
    }
}
